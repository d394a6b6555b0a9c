#ifndef MARJORAMBEND_REVIEW_RECORD_H
#define MARJORAMBEND_REVIEW_RECORD_H

#include <fstream>
#include <marjorambend/Transport>
#include <string>

namespace marjorambend::review {

/// \brief Writes what was sent, answered and run to a file, one line an event.
class Record {
public:
  explicit Record(const std::string &Path)
      : File_(Path), StartedAt_(monotonicNow()) {}

  /// \brief Milliseconds since the start of the record.
  int64_t now() const { return (monotonicNow() - StartedAt_).Count_; }

  void write(const std::string &Line) {
    File_ << now() << " ms " << Line << std::endl;
  }

private:
  std::ofstream File_;
  Milliseconds StartedAt_;
};

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_RECORD_H
