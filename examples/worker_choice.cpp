#include <iostream>
#include <marjorambend/Routing>

int main() {
  marjorambend::WorkerTable Table;
  const std::vector<marjorambend::WorkerSpec> Listed{
      {.Name_ = "slow", .Slots_ = 8}, {.Name_ = "fast", .Slots_ = 8}};
  marjorambend::updateWorkers(Table, Listed);
  Table.Workers_[1].Speed_.Slowness_ = 0.5;
  marjorambend::Random Generator(1);
  const auto Chosen =
      marjorambend::chooseWorker(Table, {}, 100.0, 1, Generator, {0});
  std::cout << "the next task goes to "
            << Table.Workers_[Chosen.value()].Spec_.Name_ << '\n';
}
