#ifndef MARJORAMBEND_TEST_GOLDEN_SESSION_H
#define MARJORAMBEND_TEST_GOLDEN_SESSION_H

#include <marjorambend/Instance>
#include <string>

namespace marjorambend::test {

/// \brief One line that says what happened.
std::string describe(const Event &Happened);

/// \brief One line that says what is wanted.
std::string describe(const Action &Wanted);

/// \brief One instance, the events it is given and the actions that follow,
/// as text to be compared with a golden file.
class Session {
public:
  /// \param Name of the golden file, without its ending.
  explicit Session(std::string Name, InstanceOptions Options = {});

  /// \brief A line of the story.
  void tell(const std::string &Line);

  /// \brief Gives the instance an event, \p After the one before.
  Actions happen(Event Happened, Milliseconds After = Milliseconds{1});

  /// \brief Lets time pass, a tick each 10 ms; quiet ticks are not written.
  void pass(Milliseconds Time);

  /// \brief Lets time pass without the instance noticing.
  void freeze(Milliseconds Time);

  /// \brief Brings a catalogue and workers into force, unwritten.
  void prepare();

  /// \brief A job of one kind; its identity is derived from \p Number.
  JobRequest job(uint32_t Number, uint32_t Tasks = 1) const;

  /// \brief The send that is under way for a task of a job.
  uint64_t sendOf(const JobId &Id, uint32_t Task) const;

  Instance &state() { return State_; }
  Milliseconds now() const { return Now_; }

  /// \brief Compares with the golden file, or writes it if
  /// MARJORAMBEND_UPDATE_GOLDEN is set.
  /// \returns an empty text, or the first line that differs.
  std::string compare() const;

private:
  Actions give(Event Happened);
  void write(const Event &Happened, const Actions &Wanted);

  std::string Name_;
  Instance State_;
  Milliseconds Now_;
  std::string Text_;
  std::map<std::pair<JobId, uint32_t>, uint64_t> SentAs_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_GOLDEN_SESSION_H
