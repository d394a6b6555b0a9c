#ifndef MARJORAMBEND_TEST_GOLDEN_SESSION_H
#define MARJORAMBEND_TEST_GOLDEN_SESSION_H

#include <marjorambend/Instance>
#include <string>

namespace marjorambend::test {

/// \brief Describes an event in one line.
std::string describe(const Event &NewEvent);

/// \brief Describes an action in one line.
std::string describe(const Action &Requested);

/// \brief Passes events to one instance and records them and the resulting
/// actions as text, which is compared with a golden file.
class Session {
public:
  /// \param Name of the golden file, without its extension.
  explicit Session(std::string Name, InstanceOptions Options = {});

  /// \brief Appends a comment line.
  void comment(const std::string &Line);

  /// \brief Passes an event to the instance, \p After the previous one.
  Actions deliver(Event NewEvent, Milliseconds After = Milliseconds{1});

  /// \brief Advances the clock with a tick every 10 ms. Ticks without actions
  /// are not recorded.
  void advance(Milliseconds Time);

  /// \brief Advances the clock without ticks, as if the process was paused.
  void advanceWithoutTicks(Milliseconds Time);

  /// \brief Sets up a catalogue and workers. Nothing is recorded.
  void prepare();

  /// \brief A job whose identity is derived from \p Number.
  JobRequest job(uint32_t Number, uint32_t Tasks = 1) const;

  /// \brief Number of the latest send of a task, or 0.
  uint64_t findSend(const JobId &Id, uint32_t Task) const;

  Instance &state() { return State_; }
  Milliseconds now() const { return Now_; }

  /// \brief Compares the text with the golden file, or writes the file if
  /// MARJORAMBEND_UPDATE_GOLDEN is set.
  /// \returns an empty text, or the first line that differs.
  std::string compare() const;

private:
  Actions apply(Event NewEvent);
  void appendLines(const Event &NewEvent, const Actions &Requested);

  std::string Name_;
  Instance State_;
  Milliseconds Now_;
  std::string Text_;
  std::map<std::pair<JobId, uint32_t>, uint64_t> SendsByTask_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_GOLDEN_SESSION_H
