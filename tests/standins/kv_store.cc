#include "standins/kv_store.h"

#include <absl/strings/escaping.h>
#include <curl/curl.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace mangohold::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWatchStep{5};
constexpr milliseconds kForever{60'000};

std::uint64_t Number(const HttpRequest& request, const char* name) {
  const std::string text = request.QueryValue(name);
  return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t LastPart(const std::string& path) {
  return std::stoull(path.substr(path.rfind('/') + 1));
}

// A query parameter, with its escapes decoded.
std::string Text(const HttpRequest& request, std::string_view name) {
  const std::string value = request.QueryValue(name);
  int length = 0;
  const std::unique_ptr<char, decltype(&curl_free)> decoded(
      curl_easy_unescape(nullptr, value.c_str(), static_cast<int>(value.size()),
                         &length),
      &curl_free);
  return {decoded.get(), static_cast<std::size_t>(length)};
}

}  // namespace

KvStore::KvStore(const std::string& address) {
  Serve(io_, address, [this](HttpRequest request, Connection& connection) {
    return Handle(std::move(request), connection);
  });
  thread_ = std::thread([this] { io_.run(); });
}

KvStore::~KvStore() {
  io_.stop();
  thread_.join();
}

void KvStore::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void KvStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0);
}

void KvStore::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

bool KvStore::Has(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  return items_.contains(key);
}

void KvStore::LapseLeases() {
  const std::lock_guard lock(mutex_);
  while (!leases_.empty()) EndLease(leases_.begin()->first);
}

void KvStore::Snapshot() {
  const std::lock_guard lock(mutex_);
  copy_ = {.items = items_, .revision = revision_, .last_lease = last_lease_};
}

void KvStore::Restore() {
  const std::lock_guard lock(mutex_);
  ++era_;
  items_ = copy_.items;
  revision_ = copy_.revision;
  last_lease_ = copy_.last_lease;
  history_.clear();
  leases_.clear();
  std::erase_if(items_,
                [](const auto& item) { return item.second.lease != 0; });
}

asio::awaitable<void> KvStore::Answer(Connection& connection, Reply reply) {
  std::string era;
  {
    const std::lock_guard lock(mutex_);
    era = "Store-Era: " + std::to_string(era_) + "\r\n";
  }
  co_await connection.Reply(reply.status, "application/json", reply.body, era);
}

asio::awaitable<void> KvStore::Handle(HttpRequest request,
                                      Connection& connection) {
  ++calls_;
  Faults faults;
  {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
    faults = faults_;
    if (request.path.ends_with("kv-watch")) faults_.forgets_history = false;
  }
  if (faults.is_silent) co_await Sleep(kForever);
  if (faults.is_busy) {
    co_await Answer(connection, {503, "{}"});
    co_return;
  }
  co_await Sleep(faults.delay);
  Reply reply;
  if (request.path == "/mangohold/kv-range") {
    reply = List(request);
  } else if (request.path == "/mangohold/kv-watch") {
    if (faults.forgets_history) {
      reply.status = 410;
    } else {
      reply = co_await Watch(std::move(request));
    }
  } else if (request.path == "/mangohold/kv-txn") {
    reply = Change(request);
    if (faults.loses_answers) co_await Sleep(kForever);
  } else {
    reply = Lease(request);
  }
  co_await Answer(connection, std::move(reply));
}

asio::awaitable<KvStore::Reply> KvStore::Watch(HttpRequest request) {
  const std::string prefix = Text(request, "prefix");
  const std::uint64_t after = Number(request, "after");
  milliseconds left(Number(request, "wait_ms"));
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (after > revision_) co_return Reply{410, "{}"};
      const bool has_events =
          std::ranges::any_of(history_, [&](const Event& event) {
            return event.revision > after && event.key.starts_with(prefix);
          });
      if (has_events || left <= milliseconds(0)) {
        co_return EventsAfter(prefix, after);
      }
    }
    co_await Sleep(kWatchStep);
    left -= kWatchStep;
  }
}

KvStore::Reply KvStore::EventsAfter(const std::string& prefix,
                                    std::uint64_t after) const {
  Json events = Json::array();
  for (const Event& event : history_) {
    if (event.revision <= after || !event.key.starts_with(prefix)) continue;
    const auto item = items_.find(event.key);
    if (event.is_deleted || item == items_.end()) {
      events.push_back({{"key", event.key},
                        {"revision", event.revision},
                        {"deleted", true}});
    } else {
      events.push_back(Json::parse(ItemText(event.key, item->second)));
    }
  }
  return {200, Json{{"events", events}, {"at", revision_}}.dump()};
}

std::string KvStore::ItemText(const std::string& key, const Item& item) const {
  return Json{{"key", key},
              {"value", absl::Base64Escape(item.value)},
              {"revision", item.revision},
              {"created", item.created},
              {"lease", item.lease}}
      .dump();
}

KvStore::Reply KvStore::List(const HttpRequest& request) const {
  constexpr std::size_t kPage = 3;
  const std::lock_guard lock(mutex_);
  const std::string prefix = Text(request, "prefix");
  const std::string after = Text(request, "after");
  Json items = Json::array();
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    if (items.size() == kPage) {
      has_more = true;
      break;
    }
    items.push_back(Json::parse(ItemText(key, item)));
  }
  return {
      200,
      Json{{"items", items}, {"has_more", has_more}, {"at", revision_}}.dump()};
}

KvStore::Reply KvStore::Change(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const Json body = Json::parse(request.body);
  Json standing = Json::array();
  bool holds = true;
  for (const Json& row : body.at("expect")) {
    const auto item = items_.find(row.at("key").get<std::string>());
    const std::uint64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == row.at("revision").get<std::uint64_t>();
    if (item != items_.end()) {
      standing.push_back(Json::parse(ItemText(item->first, item->second)));
    }
  }
  if (!holds) return {412, Json{{"items", standing}}.dump()};
  for (const Json& row : body.at("write")) {
    const auto lease = row.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {404, "{}"};
  }
  for (const Json& row : body.at("write")) {
    std::string value;
    absl::Base64Unescape(row.at("value").get<std::string>(), &value);
    Write(row.at("key").get<std::string>(), value,
          row.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : body.at("remove")) Erase(key.get<std::string>());
  return {200, Json{{"revision", revision_}}.dump()};
}

KvStore::Reply KvStore::Lease(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (request.path == "/mangohold/kv-lease") {
    const milliseconds ttl(
        Json::parse(request.body).at("ttl_ms").get<std::int64_t>());
    leases_[++last_lease_] = {.ttl = ttl, .ends = now + ttl};
    return {200, Json{{"lease", last_lease_}, {"ttl_ms", ttl.count()}}.dump()};
  }
  const std::uint64_t id = LastPart(request.path);
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return {404, "{}"};
  if (request.method == "DELETE") {
    EndLease(id);
  } else {
    lease->second.ends = now + lease->second.ttl;
  }
  return {200, "{}"};
}

void KvStore::Write(const std::string& key, const std::string& value,
                    std::uint64_t lease) {
  ++revision_;
  Item& item = items_[key];
  if (item.created == 0) item.created = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  history_.push_back({.key = key, .revision = revision_});
}

void KvStore::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  ++revision_;
  history_.push_back({.key = key, .revision = revision_, .is_deleted = true});
}

void KvStore::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Erase(key);
}

void KvStore::ExpireLeases() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, held] : leases_) {
    if (held.ends < now) ended.push_back(id);
  }
  for (const std::uint64_t id : ended) EndLease(id);
}

}  // namespace mangohold::standin
