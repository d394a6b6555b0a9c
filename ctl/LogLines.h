#ifndef MARJORAMBEND_CTL_LOGLINES_H
#define MARJORAMBEND_CTL_LOGLINES_H

#include <functional>
#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Receives a log line, as an object and as its text.
using LogLineReader =
    std::function<void(const nlohmann::json &Line, const std::string &Text)>;

/// \brief Returns a text field of a log line, or an empty text.
std::string textOf(const nlohmann::json &Line, const char *Name);

/// \brief Reads the log lines of \p From that contain \p Part. Lines without a
/// JSON object are skipped, and text before the object is ignored.
void readLogLines(std::istream &From, std::string_view Part,
                  const LogLineReader &Read);

/// \brief Reads files in turn, or standard input if there are none.
/// \returns whether all could be opened; if not, prints which one.
bool readLogFiles(std::span<const std::string> Files,
                  const std::function<void(std::istream &)> &Read);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_LOGLINES_H
