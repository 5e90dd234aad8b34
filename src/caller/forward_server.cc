#include "caller/forward_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/log.h"
#include "net/endpoint.h"

namespace mangohold {
namespace {

constexpr Millis kTick{25};
constexpr Millis kGossipInterval{150};
// Connections are looked over for overdue ones once in this many ticks.
constexpr int kTicksOfSweep = 10;
constexpr int kListenBacklog = asio::socket_base::max_listen_connections;
constexpr Millis kRefusalRetry{500};
// A peer's word counts if it is newer than this entry's own by so much.
constexpr Millis kConfirmationGain{1'000};
// News of what crashes backend servers goes into each round of gossip
// for this long.
constexpr Millis kPoisonNews{3'000};
// One round in so many tells all that is known of backend servers, for entries
// that start or have missed the news.
constexpr int kRoundsOfFullReport = 7;
// A backend server that crashes may accept connections for a moment still.
constexpr int kProbes = 2;
constexpr Millis kProbeInterval{50};
constexpr Millis kProbeTimeout{400};
// The time without descriptors or memory until the next try to accept.
constexpr Millis kAcceptRetry{50};
// Descriptors that are for files, listening sockets, and connections to the
// store, to other entries and of operators.
constexpr int kReservedDescriptors = 200;
// A caller's connection needs one to a backend server at the most.
constexpr int kDescriptorsOfCaller = 2;
// A request that has made no progress for this long may have to give way to a
// new connection.
constexpr Millis kStalled{1'000};

int MostConnections(const ForwardServer::Options& options) {
  if (options.max_descriptors == 0) return options.max_connections;
  const int by_descriptors =
      (options.max_descriptors - kReservedDescriptors) / kDescriptorsOfCaller;
  return std::clamp(by_descriptors, 1, options.max_connections);
}

// The one in its phase for longest of those that `may_close`; the end if there
// is none.
template <typename Connections, typename Condition>
auto FindOldest(Connections& connections, Condition may_close) {
  auto oldest = connections.end();
  for (auto it = connections.begin(); it != connections.end(); ++it) {
    if (!may_close(*it)) continue;
    if (oldest == connections.end() ||
        (*it)->phase_began() < (*oldest)->phase_began()) {
      oldest = it;
    }
  }
  return oldest;
}

}  // namespace

ForwardServer::ForwardServer(EventLoop& loop, Options options,
                             Handlers handlers, const Dialect& dialect,
                             Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      acceptor_(loop.io()),
      socket_(loop.io(), counters),
      gossip_({.self = options_.self}),
      memory_(MemoryBudget::OptionsFor(options_.memory_mb)),
      context_{
          .counters = counters,
          .dialect = dialect,
          .memory = memory_,
          .dispatcher = Dispatcher(options_.dispatcher),
          .pool = BackendPool(loop.io(), counters),
          .poison = PoisonDetector({.self = options_.self.id}),
          .budget = options_.budget,
          .confirmed_as_of = TimePoint{},
          .view_as_of = TimePoint{},
          .confirmation_limit = options_.confirmation_limit,
          .request_decisions = [this] { RequestDecisions(); },
          .check_backend =
              [this](const BackendRecord& backend) { CheckBackend(backend); }},
      host_{.on_request =
                [this](const CallerConnection::Ptr& caller,
                       CallerMessage message) {
                  OnRequest(caller, std::move(message));
                },
            .limits = [this]() -> const CallerLimits& {
              const FleetViewPtr& view = context_.view;
              return view == nullptr || view->routes == nullptr
                         ? default_limits_
                         : view->routes->deployment().limits;
            },
            .closes_after_answer = [this] { return is_leaving_; },
            .memory = memory_,
            .counters = counters},
      random_(options_.dispatcher.seed) {
  options_.max_connections = MostConnections(options_);
}

absl::Status ForwardServer::Start() {
  const HostPort target = ParseEndpoint(options_.listen);
  std::error_code error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(target.host, error), target.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true));
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  if (error) {
    return absl::UnavailableError("can't listen on " + options_.listen.value() +
                                  ": " + error.message());
  }
  Accept();
  loop_.Every(kTick, [this] { Tick(); });
  loop_.Every(kGossipInterval, [this] { Gossip(); });
  return socket_.Open(options_.self.peer,
                      [this](std::string_view data) { OnDatagram(data); });
}

void ForwardServer::Accept() {
  acceptor_.async_accept(
      [this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || is_closed_) return;
        if (error) return OnAcceptFailed(error);
        OnAccepted(std::move(socket));
        Accept();
      });
}

void ForwardServer::OnAccepted(asio::ip::tcp::socket socket) {
  if (!MakeRoomForConnection()) {
    return RefuseConnection(Reason::kConnectionLimit);
  }
  const auto connection =
      std::make_shared<CallerConnection>(std::move(socket), host_);
  if (!connection->HasRoom()) return RefuseConnection(Reason::kMemoryLimit);
  connections_.push_back(connection);
  connection->Start();
}

// If there are too many connections, closes the one that has been idle for
// longest, or else the one whose request has made no progress for longest.
bool ForwardServer::MakeRoomForConnection() {
  if (std::ssize(connections_) < options_.max_connections) return true;
  std::erase_if(connections_, [](const CallerConnection::Ptr& connection) {
    return connection->is_closed();
  });
  if (std::ssize(connections_) < options_.max_connections) return true;
  const TimePoint now = BootNow();
  const auto is_stalled = [now](const CallerConnection::Ptr& connection) {
    return connection->is_reading() &&
           now - connection->phase_began() >= kStalled;
  };
  auto oldest = FindOldest(connections_, [](const auto& connection) {
    return connection->is_idle();
  });
  if (oldest == connections_.end()) {
    oldest = FindOldest(connections_, is_stalled);
  }
  if (oldest == connections_.end()) return false;
  (*oldest)->Close(ConnectionEnd::kSurplus);
  connections_.erase(oldest);
  context_.counters.CountRefusal(Reason::kConnectionLimit);
  Log(LogLevel::kInfo, "surplus_connection_closed",
      {{"connections", connections_.size()}});
  return true;
}

void ForwardServer::RefuseConnection(Reason reason) {
  context_.counters.CountRefusal(reason);
  Log(LogLevel::kInfo, "connection_refused",
      {{"reason", Name(reason)},
       {"connections", connections_.size()},
       {"held_bytes", memory_.bytes()}});
}

// The connection stays in the queue of the listening socket, so that another
// try at once would fail in the same way.
void ForwardServer::OnAcceptFailed(const std::error_code& error) {
  context_.counters.Count(Event::kAcceptsFailed);
  Log(LogLevel::kWarning, "accept_failed",
      {{"error", error.message()}, {"connections", connections_.size()}});
  loop_.After(kAcceptRetry, [this] {
    if (!is_closed_) Accept();
  });
}

void ForwardServer::OnRequest(const CallerConnection::Ptr& caller,
                              CallerMessage message) {
  RequestFields fields = context_.dialect.DecodeRequest(message.fields);
  const TimePoint now = BootNow();
  const RouteTablePtr routes =
      context_.view == nullptr ? nullptr : context_.view->routes;
  if (routes == nullptr) {
    return Refuse(caller, fields.id, Reason::kConfigurationUnknown,
                  kRefusalRetry);
  }
  if (is_closed_) {
    return Refuse(caller, fields.id, Reason::kEntryLeaving, kRefusalRetry);
  }
  const Route* route =
      routes->Find(FieldValue(message.fields, "Host"), message.target);
  // Only an entry that knows the newest deployment may say that there is no
  // such route or key.
  const bool is_confirmed = context_.IsConfirmed(now);
  if (route == nullptr) {
    return Refuse(
        caller, fields.id,
        is_confirmed ? Reason::kUnknownRoute : Reason::kConfigurationUnknown,
        kRefusalRetry);
  }
  const Workspace* workspace = nullptr;
  if (routes->needs_keys() && !route->is_anonymous) {
    workspace = fields.key ? routes->FindWorkspace(*fields.key) : nullptr;
    if (workspace == nullptr || !is_confirmed) {
      return Refuse(
          caller, fields.id,
          is_confirmed ? Reason::kUnknownKey : Reason::kConfigurationUnknown,
          kRefusalRetry);
    }
  }
  const auto run = std::make_shared<ForwardRun>(
      context_, caller,
      ForwardRun::Job{.message = std::move(message),
                      .fields = std::move(fields),
                      .routes = routes,
                      .route = route,
                      .workspace = workspace,
                      .service = ChooseService(*route),
                      .zones = ZonesOf(*route)});
  runs_.push_back(run);
  run->Start();
}

void ForwardServer::Refuse(const CallerConnection::Ptr& caller,
                           const RequestId& id, Reason reason,
                           Millis retry_after) {
  context_.counters.CountRefusal(reason);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", id.value()},
       {"reason", Name(reason)},
       {"confirmed_ms_ago", ToMillis(BootNow() - context_.confirmed_as_of)}});
  const int status = HttpStatus(reason);
  HttpFields fields;
  if (status == 503) {
    const auto ms = static_cast<double>(retry_after.count());
    fields.push_back({"Retry-After", std::to_string(ms / 1000.0)});
  }
  caller->Reply(status, std::move(fields), std::string(Name(reason)) + "\n");
}

// Draws a service by the weights of the route's shares.
ServiceName ForwardServer::ChooseService(const Route& route) {
  int total = 0;
  for (const RouteShare& share : route.shares) total += share.weight;
  if (total <= 0) return route.shares.front().service;
  auto left = static_cast<int>(random_.Below(static_cast<unsigned>(total)));
  for (const RouteShare& share : route.shares) {
    left -= share.weight;
    if (left < 0) return share.service;
  }
  return route.shares.back().service;
}

std::vector<ZoneName> ForwardServer::ZonesOf(const Route& route) const {
  std::vector<ZoneName> zones;
  if (route.allowed_regions.empty()) return zones;
  for (const auto& [zone, region] : options_.regions) {
    if (std::ranges::find(route.allowed_regions, region) !=
        route.allowed_regions.end()) {
      zones.push_back(zone);
    }
  }
  return zones;
}

// Decisions are taken once for all events of one turn of the loop.
void ForwardServer::RequestDecisions() {
  if (std::exchange(has_requested_decisions_, true)) return;
  loop_.Post([this] {
    has_requested_decisions_ = false;
    CarryOutDecisions();
  });
}

void ForwardServer::CarryOutDecisions() {
  for (const auto& decision : context_.dispatcher.Decide(BootNow())) {
    const auto run = std::ranges::find_if(runs_, [&](const RunPtr& candidate) {
      return candidate->attempt() == decision.number;
    });
    if (run != runs_.end()) RunPtr(*run)->OnDecision(decision);
  }
  std::erase_if(runs_, [](const RunPtr& run) { return run->is_finished(); });
}

void ForwardServer::Tick() {
  const TimePoint now = BootNow();
  const std::vector<RunPtr> runs = runs_;
  for (const RunPtr& run : runs) run->OnTick(now);
  std::erase_if(runs_, [](const RunPtr& run) { return run->is_finished(); });
  if (context_.dispatcher.waiting() > 0) CarryOutDecisions();
  if (++ticks_ % kTicksOfSweep != 0) return;
  for (const auto& connection : connections_) connection->CloseIfOverdue(now);
  std::erase_if(connections_, [](const CallerConnection::Ptr& connection) {
    return connection->is_closed();
  });
  context_.counters.Set(Gauge::kHeldBytes,
                        static_cast<std::int64_t>(memory_.bytes()));
  context_.counters.Set(Gauge::kCallerConnections, std::ssize(connections_));
  context_.pool.CloseUnused(now, [this](const InstanceId& id) {
    return context_.dispatcher.IsListed(id);
  });
}

// Tells of the backend servers that `before` lists and the view in force
// doesn't.
void ForwardServer::ReportGoneBackends(const FleetView& before, TimePoint now) {
  for (const BackendRecord& backend : before.backends) {
    if (!context_.dispatcher.IsListed(backend.id)) {
      context_.poison.OnGone(backend.id, now);
    }
  }
}

void ForwardServer::SetView(FleetViewPtr view) {
  const FleetViewPtr before = std::exchange(context_.view, std::move(view));
  if (context_.view->routes != nullptr) {
    context_.dispatcher.SetServices(
        context_.view->routes->deployment().services);
  }
  const TimePoint now = BootNow();
  context_.dispatcher.SetBackends(context_.view->backends, now);
  gossip_.SetListed(context_.view->entries);
  if (before != nullptr) ReportGoneBackends(*before, now);
  UpdateEntries(now);
  RequestDecisions();
}

// Tells peers about this entry, and the control side which of them live.
void ForwardServer::Gossip() {
  const TimePoint now = BootNow();
  const EntryGossip::LocalState state = {
      .is_leaving = is_leaving_,
      .deployment = context_.view == nullptr ? DeploymentVersion()
                                             : context_.view->version(),
      .confirmed_as_of = context_.confirmed_as_of,
      .shares = context_.dispatcher.OwnShares()};
  TrackBlocked(now);
  const bool is_full_round = ++gossip_rounds_ % kRoundsOfFullReport == 0;
  const PoisonReport poison = NextPoisonReport(is_full_round, now);
  const auto limits = context_.dispatcher.LimitReports(!is_full_round, now);
  context_.counters.Set(Gauge::kBackendsLimited, context_.dispatcher.limited());
  context_.counters.Set(
      Gauge::kPrefixGainPermille,
      std::lround(context_.dispatcher.prompt_cache().MaxGain() * 1'000));
  for (auto& outgoing : gossip_.NextRound(state, now)) {
    outgoing.message.poison = poison;
    outgoing.message.limits = limits;
    socket_.Send(outgoing.to, EncodeGossip(outgoing.message));
  }
  UpdateEntries(now);
  const std::vector<Member> alive = gossip_.AlivePeers(now);
  const bool is_known = std::ranges::equal(
      alive, alive_, [](const Member& left, const Member& right) {
        return left.id == right.id && left.cpu_share == right.cpu_share;
      });
  if (is_known) return;
  alive_ = alive;
  Log(LogLevel::kInfo, "peers_alive", {{"count", alive.size()}});
  handlers_.on_alive(alive);
}

void ForwardServer::CheckBackend(const BackendRecord& backend) {
  if (checked_backends_.insert(backend.id).second) Probe(backend, kProbes);
}

void ForwardServer::Probe(const BackendRecord& backend, int probes_left) {
  const TimePoint begin = BootNow();
  ProbeConnection(loop_.io(), backend.address, kProbeTimeout,
                  [this, backend, begin, probes_left](ProbeResult result) {
                    OnProbed(backend, result, begin, probes_left - 1);
                  });
}

// A crash is told to the other entries at once, before the next request with
// the same part reaches one of them.
void ForwardServer::OnProbed(const BackendRecord& backend, ProbeResult result,
                             TimePoint begin, int probes_left) {
  if (result == ProbeResult::kAccepted && probes_left > 0) {
    return loop_.After(kProbeInterval, [this, backend, probes_left] {
      Probe(backend, probes_left);
    });
  }
  checked_backends_.erase(backend.id);
  const TimePoint now = BootNow();
  if (result == ProbeResult::kAccepted) {
    context_.poison.OnAnswered(backend.id, {}, begin, now);
  }
  if (result != ProbeResult::kRefused) return;
  context_.poison.OnGone(backend.id, now);
  Gossip();
}

void ForwardServer::TrackBlocked(TimePoint now) {
  const int parts = context_.poison.blocked(Suspect::Kind::kPart, now);
  const int requests = context_.poison.blocked(Suspect::Kind::kRequest, now);
  context_.counters.Set(Gauge::kPromptPartsBlocked, parts);
  context_.counters.Set(Gauge::kRequestsBlocked, requests);
  const auto blocked = std::pair(parts, requests);
  if (std::exchange(blocked_, blocked) == blocked) return;
  Log(LogLevel::kWarning, "crash_suspects_blocked",
      {{"parts", parts}, {"requests", requests}});
}

// What the next round of gossip tells of what crashes backend servers.
PoisonReport ForwardServer::NextPoisonReport(bool is_full_round,
                                             TimePoint now) {
  const auto changed_at = context_.poison.changed_at();
  const bool is_news = changed_at && now - *changed_at < kPoisonNews;
  return is_news || is_full_round ? context_.poison.Report(now)
                                  : PoisonReport();
}

// Divides what all entries share by those that are known by now.
void ForwardServer::UpdateEntries(TimePoint now) {
  context_.entries = gossip_.SenderCount(now);
  const std::vector<InstanceId> senders = gossip_.PossibleSenders();
  context_.dispatcher.SetEntries(options_.self.id, senders, now);
  context_.poison.SetEntries(senders);
  if (context_.view == nullptr || context_.view->routes == nullptr) return;
  double tokens = 0;
  for (const ServiceSpec& service :
       context_.view->routes->deployment().services) {
    tokens += context_.BudgetOf(service.name, now).StateAt(now).tokens;
  }
  context_.counters.Set(Gauge::kRetryTokens, static_cast<std::int64_t>(tokens));
}

void ForwardServer::OnDatagram(std::string_view data) {
  const auto message = DecodeGossip(data);
  if (!message) return context_.counters.Count(Event::kDatagramsDropped);
  const TimePoint now = BootNow();
  const auto news = gossip_.OnMessage(*message, now);
  context_.dispatcher.OnPeerShares(message->sender.id, message->shares, now);
  context_.dispatcher.OnLimitReports(message->limits, now);
  context_.poison.OnReport(message->poison, now);
  for (const auto& zone : news.zones) {
    context_.dispatcher.OnPeerShares(InstanceId("zone " + zone.name.value()),
                                     zone.shares, zone.as_of);
  }
  if (context_.dispatcher.waiting() > 0) RequestDecisions();
  if (context_.view == nullptr) return;
  const DeploymentVersion own = context_.view->version();
  if (news.deployment > own) {
    handlers_.on_newer(message->sender);
  } else if (news.deployment == own && news.confirmed_as_of &&
             *news.confirmed_as_of >
                 context_.confirmed_as_of + kConfirmationGain) {
    Confirm(*news.confirmed_as_of);
    handlers_.on_confirmed(*news.confirmed_as_of);
  }
}

void ForwardServer::ConfirmView(TimePoint as_of) {
  context_.view_as_of = as_of;
  gossip_.ConfirmList(as_of);
}

void ForwardServer::Confirm(TimePoint as_of) {
  context_.confirmed_as_of = std::max(context_.confirmed_as_of, as_of);
}

void ForwardServer::BeginLeaving(const LeaveSchedule& schedule, TimePoint now) {
  is_leaving_ = true;
  context_.dispatcher.BeginLeaving(now + schedule.wait_until,
                                   now + schedule.answer_until);
  RequestDecisions();
}

void ForwardServer::EndRequests() {
  const std::vector<RunPtr> runs = std::exchange(runs_, {});
  for (const RunPtr& run : runs) run->EndForLeaving();
}

OwedAnswers ForwardServer::Owed() const {
  OwedAnswers owed;
  for (const RunPtr& run : runs_) run->CountIn(owed);
  for (const auto& connection : connections_) {
    owed.reading += connection->is_reading() ? 1 : 0;
    owed.unwritten += connection->has_unwritten() ? 1 : 0;
  }
  return owed;
}

void ForwardServer::StopTaking() {
  is_closed_ = true;
  std::error_code ignored;  // it is given up in any case
  acceptor_.close(ignored);
  for (const auto& connection : connections_) connection->Retire();
}

}  // namespace mangohold
