#include "marjorambend/src/Transport/PlatformClient.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambend {
namespace internal {

using Json = nlohmann::json;

/// \brief Value of a claim row: the incarnation and the nonce of its record.
static std::string formatHolder(Incarnation Holder, uint64_t Nonce) {
  return formatHex(Holder.Value_) + formatHex(Nonce);
}

static uint64_t parseHex(std::string_view Text) {
  uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  return Value;
}

static ClaimRow toClaimRow(const Claim &Entry, const std::string &Value) {
  const std::string_view Text(Value);
  return {.Id_ = Entry.Id_,
          .Holder_ = {parseHex(Text.substr(0, 16))},
          .Nonce_ = Text.size() < 32 ? 0 : parseHex(Text.substr(16, 16))};
}

static bool isOk(const HttpResult &Result) {
  return Result && Result->Status_ == 200;
}

static Json parse(const HttpResult &Result) {
  return Json::parse(Result->Body_, nullptr, false);
}

static std::string stringField(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string{};
}

static uint64_t numberField(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<uint64_t>()
             : 0;
}

static uint16_t portField(const Json &Object, const char *Name) {
  return static_cast<uint16_t>(numberField(Object, Name));
}

static InstanceSpec toInstance(const Json &Object) {
  return {.Name_ = stringField(Object, "name"),
          .DataCentre_ = stringField(Object, "data_centre"),
          .Address_ = stringField(Object, "address"),
          .CallerPort_ = portField(Object, "caller_port"),
          .OperatorPort_ = portField(Object, "operator_port"),
          .PeerPort_ = portField(Object, "peer_port")};
}

static WorkerSpec toWorker(const Json &Object) {
  return {.Name_ = stringField(Object, "name"),
          .Address_ = stringField(Object, "address"),
          .Port_ = portField(Object, "port"),
          .DataCentre_ = stringField(Object, "data_centre"),
          .Slots_ = static_cast<uint32_t>(numberField(Object, "slots")),
          .Connections_ =
              static_cast<uint32_t>(numberField(Object, "connections")),
          .Leaving_ = Object.value("leaving", false)};
}

static Json toJson(const InstanceSpec &Spec) {
  return Json{{"name", Spec.Name_},
              {"data_centre", Spec.DataCentre_},
              {"address", Spec.Address_},
              {"caller_port", Spec.CallerPort_},
              {"operator_port", Spec.OperatorPort_},
              {"peer_port", Spec.PeerPort_}};
}

static PlatformList toList(const Json &Document) {
  PlatformList List{.Version_ = stringField(Document, "version")};
  if (const auto Found = Document.find("instances");
      Found != Document.end() && Found->is_array()) {
    for (const Json &One : *Found)
      List.Instances_.push_back(toInstance(One));
  }
  if (const auto Found = Document.find("workers");
      Found != Document.end() && Found->is_array()) {
    for (const Json &One : *Found)
      List.Workers_.push_back(toWorker(One));
  }
  return List;
}

} // namespace internal

using internal::Json;

PlatformClient::PlatformClient(HttpClient &Client, PlatformOptions Options,
                               EventHandler OnEvent, ListHandler OnList)
    : Client_(Client), Options_(std::move(Options)),
      OnEvent_(std::move(OnEvent)), OnList_(std::move(OnList)) {}

// The headers identify the calling instance.
static HttpHeaders callHeaders(const PlatformOptions &Options) {
  return {{"Content-Type", "application/json"},
          {"Marjorambend-Instance", Options.Instance_.Name_},
          {"Marjorambend-Centre", Options.Instance_.DataCentre_}};
}

void PlatformClient::post(const std::string &Target, std::string Body,
                          HttpClient::Handler OnResult) {
  Client_.send({.To_ = Options_.Service_,
                .Method_ = "POST",
                .Target_ = Target,
                .Headers_ = callHeaders(Options_),
                .Body_ = std::move(Body),
                .Timeout_ = Options_.Timeout_},
               std::move(OnResult));
}

// The answer contains the current value of each key, in request order.
void PlatformClient::insertClaims(const ClaimBatch &Batch) {
  Json Rows = Json::array();
  for (const Claim &Entry : Batch.Claims_)
    Rows.push_back(
        Json{{"key", claimKey(Entry.Id_)},
             {"value", internal::formatHolder(Options_.Self_, Entry.Nonce_)}});
  const auto OnResult = [this, Batch](const HttpResult &Result) {
    const Json Document =
        internal::isOk(Result) ? internal::parse(Result) : Json{};
    const auto Values = Document.find("values");
    const bool IsComplete = Document.is_object() && Values != Document.end() &&
                            Values->is_array() &&
                            Values->size() == Batch.Claims_.size();
    if (!IsComplete) {
      OnEvent_(ClaimsFailed{Batch.Number_});
      return;
    }
    ClaimsAnswered Answered{.Batch_ = Batch.Number_, .Rows_ = {}};
    for (std::size_t Row = 0; Row < Batch.Claims_.size(); ++Row) {
      const Json &Value = (*Values)[Row];
      if (!Value.is_string())
        continue;
      Answered.Rows_.push_back(
          internal::toClaimRow(Batch.Claims_[Row], Value.get<std::string>()));
    }
    OnEvent_(std::move(Answered));
  };
  post("/table/insert", Json{{"rows", Rows}}.dump(), OnResult);
}

void PlatformClient::readRow(const ReadRow &Read) {
  const std::string &Key = Read.Key_;
  Client_.send(
      {.To_ = Options_.Service_,
       .Target_ = "/table/row?key=" + Key +
                  "&known=" + std::to_string(Read.KnownVersion_),
       .Timeout_ = Options_.Timeout_},
      [this, Key](const HttpResult &Result) {
        const Json Document =
            internal::isOk(Result) ? internal::parse(Result) : Json{};
        if (!Document.is_object()) {
          OnEvent_(RowReadFailed{Key});
          return;
        }
        OnEvent_(RowRead{.Key_ = Key,
                         .Version_ = internal::numberField(Document, "version"),
                         .Value_ = internal::stringField(Document, "value")});
      });
}

void PlatformClient::swapRow(const SwapRow &Swap) {
  const Json Body{{"key", Swap.Key_},
                  {"expected_version", Swap.ExpectedVersion_},
                  {"value", Swap.Value_}};
  post("/table/swap", Body.dump(),
       [this, Key = Swap.Key_](const HttpResult &Result) {
         const Json Document =
             internal::isOk(Result) ? internal::parse(Result) : Json{};
         if (!Document.is_object()) {
           OnEvent_(RowSwapFailed{Key});
           return;
         }
         OnEvent_(
             RowSwapped{.Key_ = Key,
                        .Version_ = internal::numberField(Document, "version"),
                        .Value_ = internal::stringField(Document, "value")});
       });
}

void PlatformClient::deleteRows(const std::string &Prefix) {
  post("/table/delete", Json{{"prefix", Prefix}}.dump(),
       [](const HttpResult &) {});
}

// The answer to a known version has no entries.
void PlatformClient::readList() {
  Json Body = internal::toJson(Options_.Instance_);
  Body["known"] = ListVersion_;
  post("/list", Body.dump(), [this](const HttpResult &Result) {
    const Json Document =
        internal::isOk(Result) ? internal::parse(Result) : Json{};
    if (!Document.is_object())
      return;
    const bool IsSame =
        !ListVersion_.empty() &&
        internal::stringField(Document, "version") == ListVersion_;
    if (IsSame)
      return;
    PlatformList List = internal::toList(Document);
    ListVersion_ = List.Version_;
    OnList_(std::move(List));
  });
}

} // namespace marjorambend
