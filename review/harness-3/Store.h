/// \file
/// \brief Stand-in for the platform's metadata store: rows and their feed.
#pragma once

#include "Net.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

class Store {
public:
  Store(const std::string &Ip, uint16_t Port);
  /// Writes a row as the operator or a worker does.
  void put(const std::string &Table, const std::string &Key, const Json &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Whether any table has a row with this key.
  bool hasRow(const std::string &Key);

private:
  struct Row {
    std::string Value_; ///< Base64.
    uint64_t Version_ = 0;
    bool IsDeleted_ = false;
  };
  Response handle(const Request &Asked);
  Response transact(const Json &Body);
  Response rowsGet(const Request &Asked);
  Response rowsFeed(const Request &Asked);
  Json answer() const;

  std::mutex Lock_;
  std::condition_variable HasChanged_;
  std::map<std::string, std::map<std::string, Row>> Tables_;
  uint64_t Version_ = 1;
  std::unique_ptr<Server> Server_;
};

} // namespace review
