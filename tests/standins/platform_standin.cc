// Stands in for the platform: a key-value service with compare-and-swap, leases
// and watches, and a lagging list of instances. POST /standin/faults takes
// {"down": bool, "delay_ms": n, "lose_answers": n}: while down every call gets
// 503; a lost answer closes the connection after the write took effect. "cut"
// lists instances that get 503; "restore_old" takes the store back in time.
#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "standins/raw_http.h"

namespace mangohold::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

struct Value {
  std::uint64_t revision = 0;
  std::string text;
};

struct Lease {
  std::string holder;
  std::uint64_t fence = 0;
  std::chrono::steady_clock::time_point expires;
};

struct Store {
  std::map<std::string, Value> values;
  std::map<std::string, Lease> leases;
  std::uint64_t revision = 0;
  Json instances = Json::array();
  int list_lag_ms = 0;
  bool is_down = false;
  int delay_ms = 0;
  int lose_answers = 0;
  std::vector<std::string> cut;  // instances that can't reach the platform
  std::uint64_t calls = 0;
};

std::uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

Json Document(const std::string& path, const Value& value) {
  return {{"path", path}, {"revision", value.revision}, {"text", value.text}};
}

Json ChangesAfter(const Store& store, std::uint64_t after) {
  Json items = Json::array();
  for (const auto& [path, value] : store.values) {
    if (value.revision <= after) continue;
    items.push_back(Document(path, value));
  }
  return {{"revision", store.revision}, {"items", items}};
}

Json RevisionOnly(std::uint64_t revision) { return {{"revision", revision}}; }

Json ToJson(const Lease& lease) {
  return {{"holder", lease.holder}, {"fence", lease.fence}};
}

Json CallCount(const Store& store) { return {{"calls", store.calls}}; }

Json InstanceList(const Store& store) {
  return {{"instances", store.instances}};
}

asio::awaitable<void> ReplyJson(Connection& connection, int status, Json body) {
  co_await connection.Reply(status, "application/json", body.dump());
}

bool IsCut(const Store& store, const HttpRequest& request) {
  const std::string_view instance = request.Field("Mangohold-Instance");
  return store.is_down || std::find(store.cut.begin(), store.cut.end(),
                                    instance) != store.cut.end();
}

asio::awaitable<void> Watch(Store& store, const HttpRequest& request,
                            Connection& connection) {
  constexpr milliseconds kStep{2};
  const std::uint64_t after = ToNumber(request.QueryValue("after"));
  const auto end = std::chrono::steady_clock::now() +
                   milliseconds(ToNumber(request.QueryValue("wait_ms")));
  while (store.revision <= after && std::chrono::steady_clock::now() < end &&
         !IsCut(store, request)) {
    co_await Sleep(kStep);
  }
  if (IsCut(store, request)) {
    co_await connection.Reply(503, "application/json", "{}");
    co_return;
  }
  co_await connection.Reply(200, "application/json",
                            ChangesAfter(store, after).dump());
}

asio::awaitable<void> Write(Store& store, const std::string& path,
                            const HttpRequest& request,
                            Connection& connection) {
  const std::uint64_t expected = ToNumber(request.QueryValue("if_revision"));
  Value& value = store.values[path];
  if (value.revision != expected) {
    co_await ReplyJson(connection, 409, RevisionOnly(value.revision));
    co_return;
  }
  value = {++store.revision, request.body};
  if (store.lose_answers > 0) {
    --store.lose_answers;
    connection.Drop();
    co_return;
  }
  co_await ReplyJson(connection, 200, RevisionOnly(value.revision));
}

asio::awaitable<void> Acquire(Store& store, const std::string& name,
                              const HttpRequest& request,
                              Connection& connection) {
  const Json body = Json::parse(request.body);
  const auto now = std::chrono::steady_clock::now();
  Lease& lease = store.leases[name];
  const std::string holder = body.at("holder");
  if (lease.holder != holder && lease.expires > now) {
    co_await ReplyJson(connection, 409, ToJson(lease));
    co_return;
  }
  if (lease.holder != holder || lease.expires <= now) ++lease.fence;
  lease.holder = holder;
  lease.expires = now + milliseconds(body.at("ttl_ms").get<int>());
  co_await ReplyJson(connection, 200, ToJson(lease));
}

void PublishLater(Store& store, asio::io_context& io, Json instances) {
  auto timer =
      std::make_shared<asio::steady_timer>(io, milliseconds(store.list_lag_ms));
  timer->async_wait([&store, timer, instances = std::move(instances)](auto) {
    store.instances = instances;
  });
}

// The store comes back from an old copy: its first half.
void RestoreOld(Store& store) {
  store.revision /= 2;
  std::erase_if(store.values, [&store](const auto& item) {
    return item.second.revision > store.revision;
  });
}

asio::awaitable<void> Control(Store& store, asio::io_context& io,
                              const HttpRequest& request,
                              Connection& connection) {
  if (request.path == "/standin/faults") {
    const Json body = Json::parse(request.body);
    store.is_down = body.value("down", store.is_down);
    store.delay_ms = body.value("delay_ms", store.delay_ms);
    store.lose_answers = body.value("lose_answers", store.lose_answers);
    store.cut = body.value("cut", store.cut);
    if (body.value("restore_old", false)) RestoreOld(store);
  } else if (request.path == "/standin/instances") {
    PublishLater(store, io, Json::parse(request.body));
  }
  const Json calls = CallCount(store);
  co_await ReplyJson(connection, 200, calls);
}

asio::awaitable<void> Handle(Store& store, asio::io_context& io,
                             HttpRequest request, Connection& connection) {
  constexpr std::string_view kKv = "/v1/kv";
  constexpr std::string_view kLeases = "/v1/leases/";
  if (request.path.starts_with("/standin/")) {
    co_await Control(store, io, request, connection);
    co_return;
  }
  ++store.calls;
  if (store.delay_ms > 0) co_await Sleep(milliseconds(store.delay_ms));
  if (IsCut(store, request)) {
    co_await connection.Reply(503, "application/json", "{}");
  } else if (request.path == "/v1/instances") {
    const Json list = InstanceList(store);
    co_await ReplyJson(connection, 200, list);
  } else if (request.path.starts_with(kLeases)) {
    co_await Acquire(store, request.path.substr(kLeases.size()), request,
                     connection);
  } else if (request.path == kKv) {
    co_await Watch(store, request, connection);
  } else if (request.method == "PUT") {
    co_await Write(store, request.path.substr(kKv.size()), request, connection);
  } else {
    const std::string path = request.path.substr(kKv.size());
    const Json document = Document(path, store.values[path]);
    co_await ReplyJson(connection, 200, document);
  }
}

void Run(int argc, char** argv) {
  asio::io_context io;
  Store store;
  store.list_lag_ms = std::stoi(Option(argc, argv, "--list-lag-ms", "0"));
  const std::string file = Option(argc, argv, "--instances", "");
  if (!file.empty()) {
    std::ifstream in(file);
    store.instances = Json::parse(in, nullptr, true, true);
  }
  Serve(io, Option(argc, argv, "--listen", "127.0.0.1:7000"),
        [&](HttpRequest request, Connection& connection) {
          return Handle(store, io, std::move(request), connection);
        });
  io.run();
}

}  // namespace
}  // namespace mangohold::standin

int main(int argc, char** argv) {
  mangohold::standin::Run(argc, argv);
  return 0;
}
