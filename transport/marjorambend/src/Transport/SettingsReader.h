#ifndef MARJORAMBEND_TRANSPORT_SETTINGSREADER_H
#define MARJORAMBEND_TRANSPORT_SETTINGSREADER_H

#include "settings_generated.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace marjorambend {

/// \brief Everything that is wrong with the settings, one entry each.
struct SettingsError {
  std::vector<std::string> Problems_;
};

/// \brief What the command line asks for.
struct CommandLine {
  SettingsT Settings_;
  bool IsHelp_ = false;  ///< --help
  bool IsCheck_ = false; ///< --check
};

/// \brief Reads the settings: defaults, then environment, then flags.
///
/// A setting NAME is the flag --name and the variable MARJORAMBEND_NAME. All
/// wrong settings are reported at once, each with what is allowed.
tl::expected<CommandLine, SettingsError> readSettings(int Count,
                                                      char **Arguments);

/// \brief The text of --help.
std::string settingsHelp();

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SETTINGSREADER_H
