#include "marjorambend/src/Transport/PeerCodec.h"

#include "peer_generated.h"

#include <limits>

namespace marjorambend {
namespace internal {

using flatbuffers::FlatBufferBuilder;
using Strings = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

/// \brief Type and offset of a body in the buffer being built.
struct BuiltBody {
  wire::Body Type_;
  flatbuffers::Offset<void> Offset_;
};

struct Encoder {
  FlatBufferBuilder &Builder_;

  BuiltBody operator()(const Heartbeat &M) const {
    std::vector<wire::WorkerUse> Uses;
    for (const WorkerUse &Use : M.Uses_)
      Uses.emplace_back(Use.NameHash_, Use.Outstanding_);
    const auto Vector = Builder_.CreateVectorOfStructs(Uses);
    return {wire::Body::Heartbeat,
            wire::CreateHeartbeat(Builder_, M.CatalogueVersion_,
                                  M.DrainFingerprint_, M.HasBacklog_,
                                  M.IsStopping_, Vector, M.KnowsDrains_)
                .Union()};
  }

  BuiltBody operator()(const ForwardedJob &M) const {
    const JobRequest &Request = M.Request_;
    const auto Team = Builder_.CreateString(Request.Team_);
    const auto Kind = Builder_.CreateString(Request.Kind_);
    const auto Tasks = Builder_.CreateVectorOfStrings(Request.Tasks_);
    const auto Trace = Builder_.CreateString(Request.TraceParent_);
    return {wire::Body::ForwardedJob,
            wire::CreateForwardedJob(Builder_, M.Token_, Request.Id_.High_,
                                     Request.Id_.Low_, Team, Kind, Tasks,
                                     Request.Timeout_.Count_, Trace)
                .Union()};
  }

  BuiltBody operator()(const ForwardedAnswer &M) const {
    const Answer &Given = *M.Answer_;
    const auto Results = Builder_.CreateVectorOfStrings(Given.Results_);
    return {wire::Body::ForwardedAnswer,
            wire::CreateForwardedAnswer(Builder_, M.Token_, Given.Id_.High_,
                                        Given.Id_.Low_,
                                        static_cast<uint8_t>(Given.Outcome_),
                                        static_cast<uint8_t>(Given.Reason_),
                                        Given.RetryAfter_.Count_, Results)
                .Union()};
  }

  BuiltBody operator()(const ForwardedCancel &M) const {
    return {
        wire::Body::ForwardedCancel,
        wire::CreateForwardedCancel(Builder_, M.Id_.High_, M.Id_.Low_).Union()};
  }

  BuiltBody operator()(const CatalogueRequest &) const {
    return {wire::Body::CatalogueRequest,
            wire::CreateCatalogueRequest(Builder_).Union()};
  }

  BuiltBody operator()(const CatalogueUpdate &M) const {
    const auto Text = Builder_.CreateString(M.Text_);
    return {wire::Body::CatalogueUpdate,
            wire::CreateCatalogueUpdate(Builder_, M.Version_, Text).Union()};
  }

  BuiltBody operator()(const DrainUpdate &M) const {
    std::vector<flatbuffers::Offset<wire::DrainEntry>> Entries;
    for (const auto &[Target, Entry] : M.Map_.Entries_)
      Entries.push_back(wire::CreateDrainEntry(
          Builder_, Builder_.CreateString(Target), Entry.IsDrained_,
          Entry.Stamp_, Entry.Writer_.Value_));
    const auto Vector = Builder_.CreateVector(Entries);
    return {wire::Body::DrainUpdate,
            wire::CreateDrainUpdate(Builder_, Vector).Union()};
  }
};

static std::vector<uint8_t> finishFrame(FlatBufferBuilder &Builder,
                                        const BuiltBody &Built) {
  wire::FinishFrameBuffer(
      Builder, wire::CreateFrame(Builder, Built.Type_, Built.Offset_));
  return {Builder.GetBufferPointer(),
          Builder.GetBufferPointer() + Builder.GetSize()};
}

static std::string toStdString(const flatbuffers::String *Text) {
  return Text == nullptr ? std::string{} : Text->str();
}

static std::vector<std::string> toStdStrings(const Strings *Texts) {
  std::vector<std::string> List;
  if (Texts == nullptr)
    return List;
  List.reserve(Texts->size());
  for (const flatbuffers::String *Text : *Texts)
    List.push_back(toStdString(Text));
  return List;
}

static PeerHello read(const wire::Hello &M) {
  return {.Run_ = {M.incarnation()},
          .Name_ = toStdString(M.name()),
          .DataCentre_ = toStdString(M.data_centre()),
          .Nonce_ = M.nonce()};
}

static Heartbeat read(const wire::Heartbeat &M) {
  Heartbeat Beat{.CatalogueVersion_ = M.catalogue_version(),
                 .DrainFingerprint_ = M.drain_fingerprint(),
                 .HasBacklog_ = M.has_backlog(),
                 .IsStopping_ = M.is_stopping(),
                 .KnowsDrains_ = M.knows_drains(),
                 .Uses_ = {}};
  if (M.uses() == nullptr)
    return Beat;
  for (const wire::WorkerUse *Use : *M.uses())
    Beat.Uses_.push_back(
        {.NameHash_ = Use->name_hash(), .Outstanding_ = Use->outstanding()});
  return Beat;
}

static ForwardedJob read(const wire::ForwardedJob &M) {
  return {.Token_ = M.token(),
          .Request_ = {.Id_ = {M.id_high(), M.id_low()},
                       .Team_ = toStdString(M.team()),
                       .Kind_ = toStdString(M.kind()),
                       .Tasks_ = toStdStrings(M.tasks()),
                       .Timeout_ = {M.timeout_ms()},
                       .TraceParent_ = toStdString(M.trace_parent())}};
}

static ForwardedAnswer read(const wire::ForwardedAnswer &M) {
  Answer Given{.Id_ = {M.id_high(), M.id_low()},
               .Outcome_ = static_cast<Outcome>(M.outcome()),
               .Reason_ = static_cast<Reason>(M.reason()),
               .RetryAfter_ = {M.retry_after_ms()},
               .Results_ = toStdStrings(M.results())};
  return {.Token_ = M.token(),
          .Answer_ = std::make_shared<const Answer>(std::move(Given))};
}

static DrainUpdate read(const wire::DrainUpdate &M) {
  DrainUpdate Update;
  if (M.entries() == nullptr)
    return Update;
  for (const wire::DrainEntry *Entry : *M.entries())
    Update.Map_.Entries_[toStdString(Entry->target())] =
        DrainEntry{.IsDrained_ = Entry->is_drained(),
                   .Stamp_ = Entry->stamp(),
                   .Writer_ = {Entry->writer()}};
  return Update;
}

static bool isKnownOutcome(uint8_t Value) {
  return Value <= static_cast<uint8_t>(Outcome::MayHaveRun);
}

static tl::expected<PeerContent, FrameError> readBody(const wire::Frame &M) {
  // A union may have a type but no value.
  if (M.body() == nullptr)
    return tl::unexpected(FrameError::Malformed);
  switch (M.body_type()) {
  case wire::Body::Hello:
    return read(*M.body_as_Hello());
  case wire::Body::Heartbeat:
    return PeerMessage(read(*M.body_as_Heartbeat()));
  case wire::Body::ForwardedJob:
    return PeerMessage(read(*M.body_as_ForwardedJob()));
  case wire::Body::ForwardedAnswer:
    if (!isKnownOutcome(M.body_as_ForwardedAnswer()->outcome()))
      return tl::unexpected(FrameError::Malformed);
    return PeerMessage(read(*M.body_as_ForwardedAnswer()));
  case wire::Body::ForwardedCancel: {
    const wire::ForwardedCancel &Cancel = *M.body_as_ForwardedCancel();
    return PeerMessage(ForwardedCancel{{Cancel.id_high(), Cancel.id_low()}});
  }
  case wire::Body::CatalogueRequest:
    return PeerMessage(CatalogueRequest{});
  case wire::Body::CatalogueUpdate: {
    const wire::CatalogueUpdate &Update = *M.body_as_CatalogueUpdate();
    return PeerMessage(CatalogueUpdate{.Version_ = Update.version(),
                                       .Text_ = toStdString(Update.text())});
  }
  case wire::Body::DrainUpdate:
    return PeerMessage(read(*M.body_as_DrainUpdate()));
  case wire::Body::NONE:
    break;
  }
  return tl::unexpected(FrameError::Malformed);
}

} // namespace internal

std::vector<uint8_t> encodeHello(const PeerHello &Hello) {
  flatbuffers::FlatBufferBuilder Builder;
  const auto Name = Builder.CreateString(Hello.Name_);
  const auto DataCentre = Builder.CreateString(Hello.DataCentre_);
  const auto Offset = wire::CreateHello(Builder, Hello.Run_.Value_, Name,
                                        DataCentre, Hello.Nonce_);
  return internal::finishFrame(Builder, {wire::Body::Hello, Offset.Union()});
}

std::vector<uint8_t> encodeMessage(const PeerMessage &Message) {
  flatbuffers::FlatBufferBuilder Builder;
  const internal::BuiltBody Built =
      std::visit(internal::Encoder{Builder}, Message);
  return internal::finishFrame(Builder, Built);
}

tl::expected<PeerContent, FrameError>
decodeContent(std::span<const uint8_t> Content) {
  flatbuffers::Verifier Check(Content.data(), Content.size());
  if (!wire::VerifyFrameBuffer(Check))
    return tl::unexpected(FrameError::Malformed);
  return internal::readBody(*wire::GetFrame(Content.data()));
}

} // namespace marjorambend
