#include "LogLines.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace marjorambend {

using Json = nlohmann::json;

std::string textOf(const Json &Line, const char *Name) {
  const auto Found = Line.find(Name);
  return Found == Line.end() || !Found->is_string() ? std::string()
                                                    : Found->get<std::string>();
}

void readLogLines(std::istream &From, std::string_view Part,
                  const LogLineReader &Read) {
  std::string Text;
  while (std::getline(From, Text)) {
    const std::size_t Brace = Text.find('{');
    if (Brace == std::string::npos || Text.find(Part) == std::string::npos)
      continue;
    Text.erase(0, Brace);
    const Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_object())
      Read(Line, Text);
  }
}

bool readLogFiles(std::span<const std::string> Files,
                  const std::function<void(std::istream &)> &Read) {
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    if (!File) {
      std::cerr << "marjorambendctl: " << Name << " cannot be opened\n";
      return false;
    }
    Read(File);
  }
  if (Files.empty())
    Read(std::cin);
  return true;
}

} // namespace marjorambend
