#include "routing/prompt_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangohold {
namespace {

// The number of seconds that a request in progress delays the first event of
// the next one at the server: at the most the prefill of a usual prompt, which
// `LoadCost` counts as one request too, or the part that a request in decode
// adds to a pass. The longer one counts, as the estimate of a saving is less
// certain than that of the load.
double SecondsPerRequest(const EngineFigures& engine) {
  return std::max(
      std::max(1.0, engine.usual_prompt_tokens) / engine.read_tokens_per_s,
      engine.steps_per_pass * engine.per_sequence_ms / 1'000);
}

}  // namespace

void PromptCache::SetServices(const std::vector<ServiceSpec>& services) {
  if (!is_on()) return;
  std::set<ServiceName> listed;
  for (const ServiceSpec& spec : services) {
    listed.insert(spec.name);
    Service& service = services_[spec.name];
    const PrefixGain gain = service.gain;
    service = {.gain = gain};
    if (!spec.engine || spec.engine->read_tokens_per_s <= 0) continue;
    service.seconds_per_token = 1 / spec.engine->read_tokens_per_s;
    service.cost_per_token =
        service.seconds_per_token / SecondsPerRequest(*spec.engine);
    service.memory_tokens = spec.engine->memory_tokens;
    service.usual_answer_tokens = spec.engine->usual_answer_tokens;
  }
  std::erase_if(services_,
                [&](const auto& item) { return !listed.contains(item.first); });
}

void PromptCache::SetServers(const std::vector<BackendRecord>& servers) {
  if (!is_on()) return;
  std::unordered_map<InstanceId, ServerIndex> missing;
  missing.swap(index_);
  std::vector<const BackendRecord*> unknown;
  for (const BackendRecord& record : servers) {
    const auto known = missing.extract(record.id);
    if (known.empty()) {
      unknown.push_back(&record);
      continue;
    }
    index_[record.id] = known.mapped();
    Update(servers_[known.mapped()], record);
  }
  for (const auto& [id, index] : missing) servers_[index] = Server();
  Add(unknown);
}

void PromptCache::Update(Server& server, const BackendRecord& record) {
  const bool has_start = record.stamp.started_ms && server.started_ms;
  const bool has_restarted = has_start
                                 ? record.stamp.started_ms != server.started_ms
                                 : record.created != server.created;
  if (has_restarted) server.generation = ++last_generation_;
  if (record.stamp.started_ms) server.started_ms = record.stamp.started_ms;
  server.created = record.created;
  server.service = record.service;
}

void PromptCache::Add(const std::vector<const BackendRecord*>& records) {
  std::vector<ServerIndex> free;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id.empty()) free.push_back(i);
  }
  for (const BackendRecord* record : records) {
    if (index_.contains(record->id)) continue;
    if (free.empty()) {
      free.push_back(static_cast<ServerIndex>(servers_.size()));
      servers_.emplace_back();
    }
    const ServerIndex index = free.back();
    free.pop_back();
    servers_[index] = {.id = record->id,
                       .service = record->service,
                       .started_ms = record->stamp.started_ms,
                       .created = record->created,
                       .generation = ++last_generation_};
    index_[record->id] = index;
  }
}

PromptCache::ServerIndex PromptCache::IndexOf(const InstanceId& id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? kUnknownServer : it->second;
}

const PromptCache::Service* PromptCache::ServiceOf(
    const ServiceName& name) const {
  const auto it = services_.find(name);
  return it == services_.end() || it->second.seconds_per_token <= 0
             ? nullptr
             : &it->second;
}

std::size_t PromptCache::LevelsOf(const PromptPrefix& prefix) const {
  return std::min(prefix.levels().size(), options_.max_levels);
}

// A server with a full memory is assumed to push out what was used least
// recently.
bool PromptCache::IsCached(const Service& service, const Holder& holder,
                           int tokens, TimePoint now) const {
  const Server& server = servers_[holder.server];
  if (holder.generation != server.generation) return false;
  if (holder.used + options_.retention < now) return false;
  const double since = server.tokens_taken - holder.taken_when_used;
  return service.memory_tokens <= 0 ||
         since + tokens <= static_cast<double>(service.memory_tokens);
}

// Deeper levels come later and replace what the ones before them say. The
// holders of a deeper level hold the levels before it too.
PromptCache::CachedTokens PromptCache::Find(const ServiceName& service,
                                            const PromptPrefix& prefix,
                                            TimePoint now) const {
  CachedTokens cached;
  if (!is_on() || prefix.empty()) return cached;
  const Service* known = ServiceOf(service);
  if (known == nullptr || known->gain.gain() <= 0) return cached;
  cached.cost_per_token_ = known->cost_per_token * known->gain.gain();
  for (std::size_t i = 0; i < LevelsOf(prefix); ++i) {
    const PromptPrefix::Level& level = prefix.levels()[i];
    const auto it = by_key_.find(level.key);
    if (it == by_key_.end()) break;
    for (const Holder& holder : it->second->holders) {
      if (!IsCached(*known, holder, level.tokens, now)) continue;
      cached.tokens_.resize(servers_.size());
      cached.tokens_[holder.server] = level.tokens;
    }
  }
  return cached;
}

int PromptCache::CachedTokensAt(const Service& service, ServerIndex server,
                                const PromptPrefix& prefix,
                                TimePoint now) const {
  int tokens = 0;
  for (std::size_t i = 0; i < LevelsOf(prefix); ++i) {
    const PromptPrefix::Level& level = prefix.levels()[i];
    const auto it = by_key_.find(level.key);
    if (it == by_key_.end()) break;
    const auto& holders = it->second->holders;
    const auto holder = std::ranges::find(holders, server, &Holder::server);
    const bool is_cached = holder != holders.end() &&
                           IsCached(service, *holder, level.tokens, now);
    // Holders of a deeper level hold the levels before it too (see Find).
    if (is_cached) tokens = level.tokens;
  }
  return tokens;
}

int PromptCache::OnSent(const Request& request, TimePoint now) {
  if (!is_on() || request.server >= servers_.size()) return 0;
  const Server& server = servers_[request.server];
  const Service* service = ServiceOf(server.service);
  if (service == nullptr) return 0;
  const int prompt_tokens = std::max(
      {0, request.prompt_tokens,
       request.prefix->empty() ? 0 : request.prefix->levels().back().tokens});
  const int cached =
      CachedTokensAt(*service, request.server, *request.prefix, now);
  sent_[request.number] = {.server = request.server,
                           .generation = server.generation,
                           .prefix = *request.prefix,
                           .prompt_tokens = prompt_tokens,
                           .cached_tokens = cached,
                           .load = request.load,
                           .entries = std::max(1, request.entries),
                           .at = now};
  return cached;
}

void PromptCache::OnResponseStarted(AttemptNumber number, TimePoint now) {
  const auto it = sent_.find(number);
  if (it == sent_.end()) return;
  const Sent sent = std::move(it->second);
  sent_.erase(it);
  Server& server = servers_[sent.server];
  if (server.generation != sent.generation) return;
  Learn(sent, now);
  const Service* service = ServiceOf(server.service);
  if (service == nullptr) return;
  server.tokens_taken +=
      sent.entries *
      (sent.prompt_tokens - sent.cached_tokens + service->usual_answer_tokens);
  const Holder holder = {.server = sent.server,
                         .generation = sent.generation,
                         .used = now,
                         .taken_when_used = server.tokens_taken};
  // From the deepest level, so that the shared ones are the latest used.
  for (std::size_t i = LevelsOf(sent.prefix); i > 0; --i) {
    Remember(sent.prefix.levels()[i - 1].key, holder);
  }
}

void PromptCache::Learn(const Sent& sent, TimePoint now) {
  const auto service = services_.find(servers_[sent.server].service);
  if (service == services_.end()) return;
  const double per_token = service->second.seconds_per_token;
  service->second.gain.Add({.prefill_seconds = sent.prompt_tokens * per_token,
                            .load = static_cast<double>(sent.load),
                            .saved_seconds = sent.cached_tokens * per_token,
                            .observed_seconds = ToSeconds(now - sent.at)});
}

// Replaces the holder that was used least recently if there are too many.
void PromptCache::Remember(std::uint64_t key, const Holder& holder) {
  std::vector<Holder>& holders = Touch(key).holders;
  auto place = std::ranges::find(holders, holder.server, &Holder::server);
  if (place == holders.end()) {
    if (holders.size() < options_.max_holders) {
      holders.push_back(holder);
      return;
    }
    place = std::ranges::min_element(holders, {}, &Holder::used);
  }
  *place = holder;
}

// Returns the prefix as the latest used one. Drops the one that was used least
// recently if there are too many.
PromptCache::Prefix& PromptCache::Touch(std::uint64_t key) {
  const auto known = by_key_.find(key);
  if (known != by_key_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, known->second);
    return prefixes_.front();
  }
  if (prefixes_.size() >= options_.max_prefixes) {
    by_key_.erase(prefixes_.back().key);
    prefixes_.pop_back();
  }
  prefixes_.push_front({.key = key});
  by_key_[key] = prefixes_.begin();
  return prefixes_.front();
}

void PromptCache::Forget(const InstanceId& id) {
  const auto it = index_.find(id);
  if (it == index_.end()) return;
  servers_[it->second].generation = ++last_generation_;
}

double PromptCache::MaxGain() const {
  double gain = 0;
  for (const auto& [name, service] : services_) {
    if (service.seconds_per_token > 0) {
      gain = std::max(gain, service.gain.gain());
    }
  }
  return is_on() ? gain : 0;
}

}  // namespace mangohold
