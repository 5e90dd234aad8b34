#include "spread/config_replica.h"

#include <algorithm>
#include <functional>
#include <ranges>

#include "core/stable_hash.h"

namespace mangohold {
namespace {

// Limit on the documents in one reply. A peer that lacks more polls again.
constexpr std::size_t kMaxReplyBytes = 512U << 10U;

}  // namespace

std::uint64_t InstanceListDigest(const std::vector<Instance>& instances) {
  std::uint64_t digest = 1;
  for (const Instance& instance : instances) {
    digest += StableHash(
        instance.id.value() + '|' + instance.zone.value() + '|' +
        instance.service.value() + '|' + instance.peer.value() + '|' +
        instance.control.value() + '|' + instance.caller.value() + '|' +
        std::to_string(static_cast<int>(instance.state)));
  }
  return digest;
}

namespace {

// Truncates an update to kMaxReplyBytes, but keeps at least one document. The
// documents with the highest revisions are dropped, and the update is then
// complete only through the last revision that it contains.
TreeUpdate Truncated(TreeUpdate update) {
  std::ranges::sort(update.documents, {}, &DocumentVersion::revision);
  std::size_t bytes = 0;
  const auto end = std::ranges::find_if(
      update.documents, [&bytes](const DocumentVersion& document) {
        bytes += document.text.size() + document.path.size();
        return bytes > kMaxReplyBytes;
      });
  if (end == update.documents.end() || end == update.documents.begin()) {
    return update;
  }
  update.documents.erase(end, update.documents.end());
  update.complete_through = update.documents.back().revision;
  return update;
}

Millis AgeAt(TimePoint now, const std::optional<TimePoint>& as_of) {
  if (!as_of) return Millis(-1);
  return std::chrono::ceil<Millis>(std::max(now - *as_of, Duration::zero()));
}

}  // namespace

ConfigReplica::ConfigReplica(Options options) : options_(std::move(options)) {}

bool ConfigReplica::OnStoreUpdate(const TreeUpdate& update, TimePoint sent_at) {
  if (update.complete_through < tree_.complete_through()) return false;
  tree_.Apply(update);
  is_qualified_ = true;
  confirmed_as_of_ = std::max(sent_at, confirmed_as_of_.value_or(sent_at));
  return true;
}

void ConfigReplica::OnInstances(std::vector<Instance> instances,
                                TimePoint sent_at) {
  SetInstances(std::move(instances), sent_at);
}

void ConfigReplica::SetInstances(std::vector<Instance> instances,
                                 TimePoint as_of) {
  list_digest_ = InstanceListDigest(instances);
  instances_ = std::move(instances);
  list_as_of_ = as_of;
  const auto is_unlisted = [this](const auto& item) {
    return std::ranges::find(instances_, item.first, &Instance::id) ==
           instances_.end();
  };
  std::erase_if(peers_, is_unlisted);
  std::erase_if(requesters_, is_unlisted);
}

SyncRequest ConfigReplica::MakeRequest(Millis wait) const {
  return {.instance = options_.instance,
          .is_qualified = is_qualified_,
          .complete_through = tree_.complete_through(),
          .list_digest = list_digest_,
          .wait = wait};
}

void ConfigReplica::OnRequest(const SyncRequest& request, TimePoint now) {
  requesters_[request.instance] = {.complete_through = request.complete_through,
                                   .is_qualified = request.is_qualified,
                                   .last_request_at = now};
}

bool ConfigReplica::HasChangesFor(const SyncRequest& request) const {
  return tree_.complete_through() > request.complete_through ||
         (list_as_of_ && list_digest_ != request.list_digest);
}

SyncReply ConfigReplica::MakeReply(const SyncRequest& request, Millis held,
                                   TimePoint now) const {
  SyncReply reply{
      .instance = options_.instance,
      .incarnation = options_.incarnation,
      .is_qualified = is_qualified_,
      .is_whole = false,
      .is_leaving = is_leaving_,
      .held = held,
      .confirmed_age = AgeAt(now, confirmed_as_of(now)),
      .update = Truncated(tree_.ChangesSince(request.complete_through)),
      .list_digest = list_digest_,
      .list_age = AgeAt(now, list_as_of_)};
  reply.is_whole = reply.update.complete_through == tree_.complete_through();
  reply.has_instances = list_as_of_ && list_digest_ != request.list_digest;
  if (reply.has_instances) reply.instances = instances_;
  return reply;
}

// The peer replied `held` after the request arrived, so its ages count from
// `sent_at` + `held` at the earliest. A truncated update confirms nothing,
// since the peer may have further changes.
void ConfigReplica::OnReply(const SyncReply& reply, TimePoint sent_at,
                            TimePoint now) {
  const TimePoint earliest_reply_at = sent_at + reply.held;
  tree_.Apply(reply.update);
  if (reply.is_whole) {
    peers_[reply.instance] = {.incarnation = reply.incarnation,
                              .complete_through = reply.update.complete_through,
                              .replied_at = earliest_reply_at,
                              .is_qualified = reply.is_qualified,
                              .is_leaving = reply.is_leaving};
    if (reply.confirmed_age.count() >= 0) {
      const TimePoint as_of = earliest_reply_at - reply.confirmed_age;
      confirmed_as_of_ = std::max(as_of, confirmed_as_of_.value_or(as_of));
    }
  }
  const auto majority = MajorityAsOf(now);
  is_qualified_ =
      is_qualified_ ||
      (majority && *majority >= options_.started_at + kAcceptTimeout);
  if (!reply.has_instances || reply.list_age.count() < 0) return;
  const TimePoint list_as_of = earliest_reply_at - reply.list_age;
  if (!list_as_of_ || list_as_of > *list_as_of_) {
    SetInstances(reply.instances, list_as_of);
  }
}

// The latest time after which a majority of the entries was polled and has
// replied: with the reply times sorted in descending order, the one that
// completes the majority. An entry counts itself once it is qualified.
std::optional<TimePoint> ConfigReplica::MajorityAsOf(TimePoint now) const {
  if (options_.role != InstanceRole::kEntry) return std::nullopt;
  std::vector<TimePoint> reply_times;
  if (is_qualified_) reply_times.push_back(now);
  for (const auto& [id, peer] : peers_) {
    if (peer.is_qualified) reply_times.push_back(peer.replied_at);
  }
  const auto needed = static_cast<std::size_t>(MajoritySize());
  if (reply_times.size() < needed) return std::nullopt;
  std::ranges::sort(reply_times, std::greater<>());
  return reply_times[needed - 1];
}

std::optional<TimePoint> ConfigReplica::confirmed_as_of(TimePoint now) const {
  const auto majority = MajorityAsOf(now);
  if (!majority) return confirmed_as_of_;
  return std::max(*majority, confirmed_as_of_.value_or(*majority));
}

int ConfigReplica::MajoritySize() const {
  const auto listed = static_cast<int>(
      std::ranges::count(instances_, InstanceRole::kEntry, &Instance::role));
  const int expected = tree_.configuration()->fleet.expected_entries;
  return std::max(expected, listed) / 2 + 1;
}

bool ConfigReplica::HearsMajority(TimePoint now) const {
  const auto as_of = MajorityAsOf(now);
  return as_of && now - *as_of < options_.suspect_after;
}

// The revision that an entry has is known from its replies and, often earlier,
// from its requests.
int ConfigReplica::CountEntriesWith(Revision revision) const {
  const auto has_revision = [this, revision](const Instance& instance) {
    if (instance.role != InstanceRole::kEntry) return false;
    if (instance.id == options_.instance) {
      return is_qualified_ && tree_.complete_through() >= revision;
    }
    const auto peer = peers_.find(instance.id);
    const auto requester = requesters_.find(instance.id);
    return (peer != peers_.end() && peer->second.is_qualified &&
            peer->second.complete_through >= revision) ||
           (requester != requesters_.end() && requester->second.is_qualified &&
            requester->second.complete_through >= revision);
  };
  return static_cast<int>(std::ranges::count_if(instances_, has_revision));
}

bool ConfigReplica::IsSuspected(const InstanceId& entry, TimePoint now) const {
  const auto it = peers_.find(entry);
  if (it == peers_.end()) return false;
  return it->second.is_leaving ||
         now - it->second.replied_at > options_.suspect_after;
}

// The platform's list lags behind; this process may detect a failed or leaving
// entry earlier.
std::vector<Instance> ConfigReplica::EffectiveInstances(TimePoint now) const {
  std::vector<Instance> out = instances_;
  for (Instance& instance : out) {
    if (instance.role == InstanceRole::kEntry &&
        IsSuspected(instance.id, now)) {
      instance.state = InstanceState::kLeaving;
    }
  }
  return out;
}

// Rendezvous hashing (highest random weight): the entries are sorted by the
// hash of the key and their name. All processes with the same key agree without
// an election, and a change of the list changes the order little.
std::vector<Instance> ConfigReplica::RankedEntries(
    const ZoneName& zone, const std::string& key) const {
  std::vector<Instance> entries;
  std::ranges::copy_if(instances_, std::back_inserter(entries),
                       [&zone](const Instance& instance) {
                         return instance.role == InstanceRole::kEntry &&
                                instance.state == InstanceState::kLive &&
                                instance.zone == zone;
                       });
  std::ranges::sort(entries, std::greater<>(), [&key](const Instance& entry) {
    return StableHash(key + entry.id.value());
  });
  return entries;
}

bool ConfigReplica::IsWatcher() const {
  const auto ranked = RankedEntries(options_.zone, "watch");
  const auto count = std::min<std::size_t>(
      ranked.size(), static_cast<std::size_t>(options_.watchers_per_zone));
  const auto it = std::ranges::find(ranked, options_.instance, &Instance::id);
  return it - ranked.begin() < static_cast<std::ptrdiff_t>(count);
}

bool ConfigReplica::ShouldWatch(TimePoint now) const {
  if (options_.role != InstanceRole::kEntry) return false;
  if (IsWatcher()) return true;
  return !confirmed_as_of_ || now - *confirmed_as_of_ > options_.watch_after;
}

std::vector<Instance> ConfigReplica::SelectPeers() const {
  std::vector<Instance> out;
  if (options_.role == InstanceRole::kEntry) {
    std::ranges::copy_if(instances_, std::back_inserter(out),
                         [this](const Instance& instance) {
                           return instance.role == InstanceRole::kEntry &&
                                  instance.id != options_.instance;
                         });
    return out;
  }
  out = RankedEntries(options_.zone, options_.instance.value());
  const auto wanted = static_cast<std::size_t>(options_.entries_per_agent);
  if (out.size() > wanted) out.resize(wanted);
  // One entry of another zone, in case all entries of the own zone fail.
  const auto is_elsewhere = [this](const Instance& instance) {
    return instance.role == InstanceRole::kEntry &&
           instance.zone != options_.zone;
  };
  std::vector<Instance> others;
  std::ranges::copy_if(instances_, std::back_inserter(others), is_elsewhere);
  const auto best =
      std::ranges::max_element(others, {}, [this](const Instance& entry) {
        return StableHash(options_.instance.value() + entry.id.value());
      });
  if (best != others.end()) out.push_back(*best);
  return out;
}

}  // namespace mangohold
