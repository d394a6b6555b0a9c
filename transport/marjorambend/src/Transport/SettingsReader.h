#ifndef MARJORAMBEND_TRANSPORT_SETTINGSREADER_H
#define MARJORAMBEND_TRANSPORT_SETTINGSREADER_H

#include "settings_generated.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace marjorambend {

/// \brief All problems found in the settings, one entry each.
struct SettingsError {
  std::vector<std::string> Problems_;
};

/// \brief The parsed command line.
struct CommandLine {
  SettingsT Settings_;
  bool IsHelp_ = false;  ///< --help
  bool IsCheck_ = false; ///< --check
};

/// \brief Reads the settings: defaults, then environment, then flags.
///
/// The setting `name` is the flag --name and the environment variable
/// MARJORAMBEND_NAME. All invalid settings are reported together, each with the
/// allowed values.
tl::expected<CommandLine, SettingsError> readSettings(int Count,
                                                      char **Arguments);

/// \brief Reads the flags after `marjorambend platform`.
///
/// Only the settings named in \p Allowed are accepted, and no environment
/// variables: the other settings are in the platform's settings file.
tl::expected<SettingsT, SettingsError>
readPlatformFlags(int Count, char **Arguments,
                  const std::vector<std::string> &Allowed);

/// \brief The text of --help.
std::string settingsHelp();

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SETTINGSREADER_H
