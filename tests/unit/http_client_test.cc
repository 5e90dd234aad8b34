#include "net/http_client.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <ostream>
#include <string>
#include <thread>

#include "odd_statuses.h"

namespace mangohold {
namespace {

// Fetches from a server that writes `answer` and closes in good order.
HttpResponse FetchFrom(const std::string& answer) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
      io, {asio::ip::address_v4::loopback(), /*port=*/0});
  const auto port = acceptor.local_endpoint().port();
  std::thread server([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket, asio::buffer(answer));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  });
  HttpResponse response =
      FetchAndWait({.url = "http://127.0.0.1:" + std::to_string(port) + "/",
                    .fresh_connection = true});
  server.join();
  return response;
}

// Guards against an answer whose head was cut off and that counts as a whole
// one with an empty body (MIXED).
TEST(HttpClient, AnAnswerWithACutHeadIsNotComplete) {
  for (const char* answer :
       {"HTTP/1.1 202 Accepted\r\n", "HTTP/1.1 200 OK\r\nX-Field: val",
        "HTTP/1.1 200 OK\r\nX-Field: value\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: value\r\n"}) {
    EXPECT_EQ(FetchFrom(answer).result, HttpResult::kBroken) << answer;
  }
}

TEST(HttpClient, WholeAnswersAreComplete) {
  const HttpResponse empty =
      FetchFrom("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(empty.result, HttpResult::kComplete);
  const HttpResponse unframed = FetchFrom("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(unframed.result, HttpResult::kComplete);
  EXPECT_EQ(unframed.body, "abc");
  const HttpResponse interim = FetchFrom(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 2\r\n\r\nab");
  EXPECT_EQ(interim.result, HttpResult::kComplete);
  EXPECT_EQ(interim.body, "ab");
}

// Guards against an answer whose status is none of the protocol's and that
// counts as one (MIXED): libcurl takes 101, 600 and 999 for a status.
TEST(HttpClient, AnAnswerWithoutAStatusIsBroken) {
  for (const std::string status : kOddStatuses) {
    const HttpResponse response = FetchFrom(AnswerWithStatus(status));
    EXPECT_EQ(response.result, HttpResult::kBroken) << status;
    EXPECT_EQ(response.status, 0) << status;
  }
}

// What a server sends without end, and how the call has to end.
struct Endless {
  std::string name;
  std::string beginning;
  std::string block;
  HttpResult result;
};

std::ostream& operator<<(std::ostream& out, const Endless& endless) {
  return out << endless.name;
}

class HttpClientEndless : public testing::TestWithParam<Endless> {};

// Guards against a process that keeps whatever a faulty server sends, until it
// runs out of memory.
TEST_P(HttpClientEndless, AnAnswerWithoutEndIsBrokenOffAndNotKept) {
  constexpr MaxBody kMaxBody{100'000};
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
      io, {asio::ip::address_v4::loopback(), /*port=*/0});
  const auto port = acceptor.local_endpoint().port();
  std::thread server([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    std::error_code error;
    asio::write(socket, asio::buffer(GetParam().beginning), error);
    while (!error) asio::write(socket, asio::buffer(GetParam().block), error);
  });
  const HttpResponse response =
      FetchAndWait({.url = "http://127.0.0.1:" + std::to_string(port) + "/",
                    .timeout = std::chrono::seconds(5),
                    .fresh_connection = true},
                   kMaxBody);
  server.join();
  EXPECT_EQ(response.result, GetParam().result);
  EXPECT_EQ(response.body.size(), 0U);
}

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, HttpClientEndless,
    testing::Values(
        Endless{"Body", std::string(kOk) + "\r\n", std::string(10'000, 'b'),
                HttpResult::kTooLarge},
        Endless{"BodyWithALength",
                std::string(kOk) + "Content-Length: 9000000000\r\n\r\n",
                std::string(10'000, 'b'), HttpResult::kTooLarge},
        Endless{
            "Chunks", std::string(kOk) + "Transfer-Encoding: chunked\r\n\r\n",
            "100\r\n" + std::string(256, 'c') + "\r\n", HttpResult::kTooLarge},
        Endless{"Fields", kOk, "X-Field: " + std::string(1'000, 'f') + "\r\n",
                HttpResult::kTooLarge},
        Endless{"InterimAnswers", "", "HTTP/1.1 103 Early Hints\r\n\r\n",
                HttpResult::kTooLarge},
        Endless{"Trailers",
                std::string(kOk) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Field: " + std::string(1'000, 't') + "\r\n",
                HttpResult::kTooLarge},
        // libcurl ends these itself.
        Endless{"StatusLine", "HTTP/1.1 200 ", std::string(10'000, 's'),
                HttpResult::kBroken},
        Endless{"OneField", std::string(kOk) + "X-Field: ",
                std::string(10'000, 'f'), HttpResult::kBroken},
        Endless{"NoAnswer", "", std::string(10'000, 'n'), HttpResult::kBroken}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace mangohold
