#include "review/standins-3/tests/paged_store.h"

#include <absl/strings/escaping.h>
#include <curl/curl.h>

#include <memory>
#include <utility>

namespace mangohold::review {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostItems = 500;
constexpr std::size_t kMostBytes = 1'000'000;
constexpr milliseconds kWatchStep{5};

std::uint64_t Number(const HttpRequest& request, const char* name) {
  const std::string text = request.QueryValue(name);
  return text.empty() ? 0 : std::stoull(text);
}

// A query parameter, with its escapes decoded.
std::string Text(const HttpRequest& request, const char* name) {
  const std::string value = request.QueryValue(name);
  int length = 0;
  const std::unique_ptr<char, decltype(&curl_free)> decoded(
      curl_easy_unescape(nullptr, value.c_str(), static_cast<int>(value.size()),
                         &length),
      &curl_free);
  return {decoded.get(), static_cast<std::size_t>(length)};
}

std::uint64_t LastNumber(const std::string& path) {
  return std::stoull(path.substr(path.rfind('/') + 1));
}

template <typename Item>
nlohmann::json ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

}  // namespace

PagedStore::PagedStore(const std::string& address, milliseconds lag)
    : lag_(lag) {
  standin::Serve(io_, address,
                 [this](HttpRequest request, standin::Connection& connection) {
                   return Handle(std::move(request), connection);
                 });
  thread_ = std::thread([this] { io_.run(); });
}

PagedStore::~PagedStore() {
  io_.stop();
  thread_.join();
}

// Keeps what the replica that is behind still shows.
void PagedStore::BeginChange() {
  past_.push_back({.state = now_, .until = Clock::now()});
  while (past_.front().until + lag_ < Clock::now()) past_.pop_front();
  ++now_.revision;
}

const PagedStore::State& PagedStore::StateBehind() {
  while (!past_.empty() && past_.front().until + lag_ < Clock::now()) {
    past_.pop_front();
  }
  return past_.empty() ? now_ : past_.front().state;
}

void PagedStore::Write(const std::string& key, const std::string& value,
                       std::uint64_t lease) {
  BeginChange();
  Item& item = now_.items[key];
  if (item.created == 0) item.created = now_.revision;
  item.value = value;
  item.revision = now_.revision;
  item.lease = lease;
  events_.push_back({.key = key, .revision = now_.revision, .item = item});
}

void PagedStore::Remove(const std::string& key) {
  if (!now_.items.contains(key)) return;
  BeginChange();
  now_.items.erase(key);
  events_.push_back(
      {.key = key, .revision = now_.revision, .is_deleted = true});
}

std::uint64_t PagedStore::Put(const std::string& key,
                              const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, absl::Base64Escape(value), 0);
  return now_.revision;
}

void PagedStore::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : now_.items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

void PagedStore::ExpireLeases() {
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, held] : leases_) {
    if (held.ends < Clock::now()) ended.push_back(lease);
  }
  for (const std::uint64_t lease : ended) EndLease(lease);
}

PagedStore::Reply PagedStore::List(const HttpRequest& request) {
  const std::string prefix = Text(request, "prefix");
  const std::string after = Text(request, "after");
  const bool is_behind =
      is_stale_ && !after.empty() && request.QueryValue("allow_stale") == "1";
  const State& state = is_behind ? StateBehind() : now_;
  if (is_behind && state.revision < now_.revision) ++old_pages_;
  Json items = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (auto it = state.items.upper_bound(after); it != state.items.end();
       ++it) {
    if (!it->first.starts_with(prefix)) continue;
    bytes += it->first.size() + it->second.value.size();
    const bool is_full =
        items.size() >= kMostItems || (bytes > kMostBytes && !items.empty());
    if (is_full) {
      has_more = true;
      break;
    }
    items.push_back(ToJson(it->first, it->second));
  }
  return {.body = {{"items", items},
                   {"has_more", has_more},
                   {"at", state.revision}}};
}

PagedStore::Json PagedStore::EventsAfter(std::uint64_t after) const {
  Json events = Json::array();
  for (const Event& event : events_) {
    if (event.revision <= after) continue;
    if (event.is_deleted) {
      events.push_back({{"key", event.key},
                        {"revision", event.revision},
                        {"deleted", true}});
    } else {
      events.push_back(ToJson(event.key, event.item));
    }
  }
  return events;
}

asio::awaitable<PagedStore::Reply> PagedStore::Watch(HttpRequest request) {
  const std::uint64_t after = Number(request, "after");
  milliseconds left(Number(request, "wait_ms"));
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      ExpireLeases();
      Json events = EventsAfter(after);
      if (!events.empty() || left <= milliseconds(0)) {
        co_return Reply{
            .body = {{"events", std::move(events)}, {"at", now_.revision}}};
      }
    }
    co_await standin::Sleep(kWatchStep);
    left -= kWatchStep;
  }
}

PagedStore::Reply PagedStore::Change(const HttpRequest& request) {
  const Json change = Json::parse(request.body);
  Json current = Json::array();
  bool fits = true;
  for (const Json& row : change.at("expect")) {
    const auto key = row.at("key").get<std::string>();
    const auto it = now_.items.find(key);
    const std::uint64_t revision =
        it == now_.items.end() ? 0 : it->second.revision;
    fits = fits && revision == row.at("revision").get<std::uint64_t>();
    if (it != now_.items.end()) current.push_back(ToJson(key, it->second));
  }
  if (!fits) return {.status = 412, .body = {{"items", current}}};
  for (const Json& row : change.at("write")) {
    const auto lease = row.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {.status = 404};
  }
  for (const Json& row : change.at("write")) {
    Write(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
          row.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : change.at("remove")) Remove(key.get<std::string>());
  return {.body = {{"revision", now_.revision}}};
}

PagedStore::Reply PagedStore::Lease(const HttpRequest& request) {
  if (request.path == "/mangohold/kv-lease") {
    const milliseconds ttl(
        Json::parse(request.body).at("ttl_ms").get<std::int64_t>());
    leases_[++last_lease_] = {.ttl = ttl, .ends = Clock::now() + ttl};
    return {.body = {{"lease", last_lease_}, {"ttl_ms", ttl.count()}}};
  }
  const std::uint64_t lease = LastNumber(request.path);
  const auto held = leases_.find(lease);
  if (held == leases_.end()) return {.status = 404};
  if (request.method == "DELETE") {
    EndLease(lease);
    return {};
  }
  held->second.ends = Clock::now() + held->second.ttl;
  return {.body = {{"ttl_ms", held->second.ttl.count()}}};
}

asio::awaitable<void> PagedStore::Handle(HttpRequest request,
                                         standin::Connection& connection) {
  Reply reply;
  if (request.path == "/mangohold/kv-watch") {
    reply = co_await Watch(std::move(request));
  } else {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
    if (request.path == "/mangohold/kv-range") {
      reply = List(request);
    } else if (request.path == "/mangohold/kv-txn") {
      reply = Change(request);
    } else {
      reply = Lease(request);
    }
  }
  co_await connection.Reply(reply.status, "application/json",
                            reply.body.dump());
}

}  // namespace mangohold::review
