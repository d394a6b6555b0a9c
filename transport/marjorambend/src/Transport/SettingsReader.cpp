#include "marjorambend/src/Transport/SettingsReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <gflags/gflags.h>
#include <sstream>
#include <type_traits>

#define SETTING(Type, Name, Default, Help, Least, Most, Choices, IsSecret)     \
  DEFINE_##Type(Name, Default, Help);
#include "Settings.def"
#undef SETTING

namespace marjorambend {
namespace internal {

using Problems = std::vector<std::string>;

struct SettingText {
  const char *Name_;
  const char *Help_;
  int64_t Least_;
  int64_t Most_;
  const char *Choices_;
  bool IsSecret_;
};

static constexpr SettingText SettingTexts[] = {
#define SETTING(Type, Name, Default, Help, Least, Most, Choices, IsSecret)     \
  {#Name, Help, Least, Most, Choices, IsSecret},
#include "Settings.def"
#undef SETTING
};

constexpr std::size_t MinSecretBytes = 8;

static const SettingText *findSetting(const std::string &Name) {
  for (const SettingText &Text : SettingTexts) {
    if (Name == Text.Name_)
      return &Text;
  }
  return nullptr;
}

static std::string environmentName(const std::string &Name) {
  std::string Variable = "MARJORAMBEND_" + Name;
  for (char &Character : Variable)
    Character = static_cast<char>(toupper(Character));
  return Variable;
}

static bool isChoice(const std::string &Choices, const std::string &Value) {
  std::istringstream List(Choices);
  std::string Choice;
  while (std::getline(List, Choice, ',')) {
    if (Choice == Value)
      return true;
  }
  return false;
}

static void setFlag(const SettingText &Text, const std::string &Source,
                    const std::string &Value, Problems &Errors) {
  const std::string Done =
      gflags::SetCommandLineOption(Text.Name_, Value.c_str());
  if (Done.empty())
    Errors.push_back(Source + ": \"" + Value + "\" cannot be read as a value");
}

template <typename Value>
void checkRange(const SettingText &Text, const Value &Given, Problems &Errors) {
  if constexpr (std::is_same_v<Value, std::string>) {
    if (*Text.Choices_ != '\0' && !isChoice(Text.Choices_, Given))
      Errors.push_back(std::string("--") + Text.Name_ + ": \"" + Given +
                       "\" is not one of " + Text.Choices_);
  } else if constexpr (!std::is_same_v<Value, bool>) {
    if (Given < Text.Least_ || Given > Text.Most_)
      Errors.push_back(std::string("--") + Text.Name_ + ": " +
                       std::to_string(Given) + " is not from " +
                       std::to_string(Text.Least_) + " to " +
                       std::to_string(Text.Most_));
  }
}

static void readEnvironment(Problems &Errors) {
  for (const SettingText &Text : SettingTexts) {
    const std::string Variable = environmentName(Text.Name_);
    if (const char *Value = std::getenv(Variable.c_str()))
      setFlag(Text, Variable, Value, Errors);
  }
}

// Parses one argument: --name=value, --name value, --help or --check.
static void readArgument(const std::vector<std::string> &Arguments,
                         std::size_t &Index, CommandLine &Line,
                         Problems &Errors) {
  const std::string &Argument = Arguments[Index];
  if (Argument == "--help" || Argument == "-h") {
    Line.IsHelp_ = true;
    return;
  }
  if (Argument == "--check") {
    Line.IsCheck_ = true;
    return;
  }
  const std::size_t Equals = Argument.find('=');
  const bool IsFlag = Argument.rfind("--", 0) == 0;
  const std::string Name = IsFlag ? Argument.substr(2, Equals - 2) : "";
  const SettingText *Text = findSetting(Name);
  if (Text == nullptr) {
    Errors.push_back(Argument + ": there is no such setting; see --help");
    return;
  }
  if (Equals != std::string::npos) {
    setFlag(*Text, "--" + Name, Argument.substr(Equals + 1), Errors);
    return;
  }
  if (Index + 1 >= Arguments.size()) {
    Errors.push_back("--" + Name + ": a value is required");
    return;
  }
  setFlag(*Text, "--" + Name, Arguments[++Index], Errors);
}

static void checkAddress(const std::string &Name, const std::string &Value,
                         Problems &Errors) {
  in_addr Address{};
  if (inet_pton(AF_INET, Value.c_str(), &Address) != 1)
    Errors.push_back("--" + Name + ": \"" + Value + "\" is not an IP number");
}

static void checkSecret(const std::string &Name, const std::string &Value,
                        Problems &Errors) {
  if (Value.size() < MinSecretBytes)
    Errors.push_back("--" + Name + ": at least " +
                     std::to_string(MinSecretBytes) +
                     " bytes are required; set " + environmentName(Name));
}

static void checkSettings(const SettingsT &Given, Problems &Errors) {
  checkAddress("address", Given.address, Errors);
  checkAddress("platform_address", Given.platform_address, Errors);
  checkSecret("operator_secret", Given.operator_secret, Errors);
  checkSecret("peer_key", Given.peer_key, Errors);
  if (Given.name.empty())
    Errors.emplace_back("--name: a name is required");
  if (Given.data_centre.empty())
    Errors.emplace_back("--data_centre: a name is required");
  const bool HasClash = Given.caller_port == Given.operator_port ||
                        Given.caller_port == Given.peer_port ||
                        Given.operator_port == Given.peer_port;
  if (HasClash)
    Errors.emplace_back(
        "--caller_port, --operator_port, --peer_port: must differ");
  if (Given.claim_retention_ms < 2 * Given.identity_window_ms)
    Errors.emplace_back(
        "--claim_retention_ms: must be at least twice --identity_window_ms");
}

static SettingsT collectFlags(Problems &Errors) {
  SettingsT Given;
#define SETTING(Type, Name, Default, Help, Least, Most, Choices, IsSecret)     \
  checkRange(*findSetting(#Name), FLAGS_##Name, Errors);                       \
  Given.Name = FLAGS_##Name;
#include "Settings.def"
#undef SETTING
  return Given;
}

} // namespace internal

tl::expected<CommandLine, SettingsError> readSettings(int Count,
                                                      char **Arguments) {
  SettingsError Error;
  CommandLine Line;
  internal::readEnvironment(Error.Problems_);
  const std::vector<std::string> Given(Arguments + 1, Arguments + Count);
  for (std::size_t Index = 0; Index < Given.size(); ++Index)
    internal::readArgument(Given, Index, Line, Error.Problems_);
  if (Line.IsHelp_)
    return Line;
  Line.Settings_ = internal::collectFlags(Error.Problems_);
  internal::checkSettings(Line.Settings_, Error.Problems_);
  if (!Error.Problems_.empty())
    return tl::unexpected(Error);
  return Line;
}

tl::expected<SettingsT, SettingsError>
readPlatformFlags(int Count, char **Arguments,
                  const std::vector<std::string> &Allowed) {
  SettingsError Error;
  CommandLine Line;
  const std::vector<std::string> Given(Arguments + 2, Arguments + Count);
  for (std::size_t Index = 0; Index < Given.size(); ++Index) {
    const std::string &Flag = Given[Index];
    const bool IsAllowed = std::any_of(
        Allowed.begin(), Allowed.end(), [&Flag](const std::string &Name) {
          return Flag == "--" + Name || Flag.rfind("--" + Name + "=", 0) == 0;
        });
    if (IsAllowed)
      internal::readArgument(Given, Index, Line, Error.Problems_);
    else
      Error.Problems_.push_back(Flag + ": there is no such setting for "
                                       "`marjorambend platform`");
  }
  SettingsT Settings = internal::collectFlags(Error.Problems_);
  if (!Error.Problems_.empty())
    return tl::unexpected(Error);
  return Settings;
}

std::string settingsHelp() {
  std::ostringstream Text;
  Text << "marjorambend - the daemon of an entry instance\n\n"
          "Usage: marjorambend [--setting=value ...] [--check]\n\n"
          "  --check  checks the settings, reports problems, and exits\n\n"
          "Every setting is also an environment variable, MARJORAMBEND_ and "
          "its name in\ncapitals; the flag wins. Secrets are better set by "
          "environment.\n\n";
  for (const auto &Setting : internal::SettingTexts) {
    std::string Default;
    gflags::GetCommandLineOption(Setting.Name_, &Default);
    Text << "  --" << Setting.Name_;
    if (!Setting.IsSecret_)
      Text << " (" << Default << ")";
    Text << "\n      " << Setting.Help_ << "\n";
    if (*Setting.Choices_ != '\0')
      Text << "      One of " << Setting.Choices_ << ".\n";
    if (Setting.Least_ != INT64_MIN)
      Text << "      From " << Setting.Least_ << " to " << Setting.Most_
           << ".\n";
  }
  Text << "\nExit codes: 0 regular stop, 1 could not start, 2 invalid "
          "settings,\n3 stopped with requests that had to be given up.\n";
  return Text.str();
}

} // namespace marjorambend
