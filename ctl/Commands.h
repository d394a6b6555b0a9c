#ifndef MARJORAMBEND_CTL_COMMANDS_H
#define MARJORAMBEND_CTL_COMMANDS_H

#include "OperatorClient.h"

#include <string>
#include <vector>

namespace marjorambend {

/// \brief Exit codes of marjorambendctl.
enum ExitCode : int {
  ExitDone = 0,
  ExitRefused = 1,      ///< Invalid catalogue, lost race, unknown job.
  ExitUsage = 2,        ///< The command line is wrong.
  ExitUnreachable = 3,  ///< No instance answers, or the secret is wrong.
  ExitNotEverywhere = 4 ///< Accepted, but not in force everywhere in time.
};

/// \brief Context shared by all commands.
struct CommandContext {
  OperatorClient &Client_;
  Endpoint Instance_;   ///< Operators' listener of the instance to query.
  bool IsJson_ = false; ///< Print JSON for scripts.
  Milliseconds Wait_{9'000};
  int64_t Expect_ = -1; ///< Version that was edited; -1: the one in force.
};

/// \brief Runs a command.
/// \param Given the command and its arguments.
/// \returns an ExitCode.
int runCommand(const CommandContext &Context,
               const std::vector<std::string> &Given);

/// \brief The text of --help.
std::string commandHelp();

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_COMMANDS_H
