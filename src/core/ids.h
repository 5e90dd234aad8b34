// Strong types for the names and numbers that pass between modules, so that a
// workspace can't be handed over where a service is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mangohold {

// A textual identifier. `Tag` makes identifiers of different kinds distinct
// types.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;

 private:
  std::string value_;
};

// An ordinal identifier. It is ordered and can be advanced by one.
template <typename Tag>
class Number {
 public:
  Number() = default;
  constexpr explicit Number(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr Number Next() const { return Number(value_ + 1); }
  auto operator<=>(const Number&) const = default;

 private:
  std::uint64_t value_ = 0;
};

using InstanceId = Id<struct InstanceIdTag>;
using ZoneName = Id<struct ZoneNameTag>;
using ServiceName = Id<struct ServiceNameTag>;
using WorkspaceName = Id<struct WorkspaceNameTag>;
using RequestId = Id<struct RequestIdTag>;
// One process start of an agent or of a backend server.
using Incarnation = Id<struct IncarnationTag>;
// "host:port" of a listening socket.
using Endpoint = Id<struct EndpointTag>;

// A group of ranks that make each pass together.
using GroupName = Id<struct GroupNameTag>;

// A part of a prompt, which requests may share.
using PromptPart = Number<struct PromptPartTag>;
// What a request is, whichever attempt of its caller's carries it.
using RequestDigest = Number<struct RequestDigestTag>;

// Counts how often the platform's store came back from an older copy.
using StoreEra = Number<struct StoreEraTag>;

// The version that the platform's store gave to a change. A store that comes
// back from an older copy gives numbers out again, in its next era, so that
// only the pair of both is ordered.
class Revision {
 public:
  Revision() = default;
  constexpr explicit Revision(std::uint64_t number, StoreEra era = StoreEra())
      : era_(era), number_(number) {}

  constexpr StoreEra era() const { return era_; }
  // As the store counts; ordered within one era only.
  constexpr std::uint64_t number() const { return number_; }
  constexpr Revision Next() const { return Revision(number_ + 1, era_); }
  auto operator<=>(const Revision&) const = default;

  // Era and number as one number in the same order, and back.
  constexpr std::uint64_t packed() const {
    return era_.value() << kNumberBits | number_;
  }
  static constexpr Revision FromPacked(std::uint64_t packed) {
    return Revision(packed & ((std::uint64_t{1} << kNumberBits) - 1),
                    StoreEra(packed >> kNumberBits));
  }

 private:
  // Enough for 5 years of 400 changes a second in one era.
  static constexpr unsigned kNumberBits = 36;

  StoreEra era_;
  std::uint64_t number_ = 0;
};
// The position of a ticket in the series that one agent incarnation minted.
using TicketSequence = Number<struct TicketSequenceTag>;

}  // namespace mangohold

template <typename Tag>
struct std::hash<mangohold::Id<Tag>> {
  std::size_t operator()(const mangohold::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
