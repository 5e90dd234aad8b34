#include "net/http1_parser.h"

#include <gtest/gtest.h>

#include <vector>

#include "net/http1_text.h"
#include "net/http_status.h"
#include "odd_statuses.h"

namespace mangohold {
namespace {

// Keeps what a parser finds.
class Collector : public Http1Sink {
 public:
  void OnHead(Http1Head head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageEnd() override { ++ends; }

  std::vector<Http1Head> heads;
  std::string body;
  int ends = 0;
};

struct Parsed {
  Collector found;
  Http1Parser parser;
  explicit Parsed(Http1Parser::Kind kind) : parser(kind, found) {}
};

// A text in pieces of `step` bytes.
void FeedInPieces(Http1Parser& parser, std::string_view text,
                  std::size_t step) {
  std::string pending;
  while (!text.empty() || !pending.empty()) {
    const std::size_t size = std::min(step, text.size());
    pending.append(text.substr(0, size));
    text.remove_prefix(size);
    const std::size_t used = parser.Feed(pending);
    pending.erase(0, used);
    if (used == 0 || parser.has_failed()) return;
  }
}

TEST(Http1Parser, ReadsARequestInPiecesOfAnySize) {
  const std::string text =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
  for (const std::size_t step : {1, 2, 3, 7, 1000}) {
    Parsed parsed(Http1Parser::Kind::kRequest);
    FeedInPieces(parsed.parser, text, step);
    ASSERT_EQ(parsed.found.ends, 1) << "pieces of " << step;
    EXPECT_EQ(parsed.found.heads[0].method, "POST");
    EXPECT_EQ(parsed.found.heads[0].target, "/a/b?c=1");
    EXPECT_EQ(parsed.found.body, "hello");
  }
}

TEST(Http1Parser, StopsBehindEachRequestOfAPipeline) {
  const std::string one = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string two = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  Parsed parsed(Http1Parser::Kind::kRequest);
  EXPECT_EQ(parsed.parser.Feed(one + two), one.size());
  EXPECT_EQ(parsed.found.ends, 1);
  EXPECT_EQ(parsed.parser.Feed(two), 0U);
  parsed.parser.Reset();
  EXPECT_EQ(parsed.parser.Feed(two), two.size());
  EXPECT_EQ(parsed.found.heads[1].target, "/2");
}

// Texts that two peers could read differently, by which one request could be
// smuggled inside another.
TEST(Http1Parser, RefusesAmbiguousRequests) {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::string> texts = {
      start +
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
      start + "Content-Length: 4x\r\n\r\nabcd",
      start + "Content-Length: -1\r\n\r\n",
      start + "X-A: 1\r\n folded\r\n\r\n",
      start + "X-A: 1\r\n\tfolded\r\n\r\n",
      start + "X A: 1\r\n\r\n",
      start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
      start + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
      start + "X-A : 1\r\n\r\n",
      start + std::string("X-A: a\0b\r\n\r\n", 12),
      start + "X-A: a\rb\r\n\r\n",
      start + ": 1\r\n\r\n",
      start + "host: y\r\n\r\n",
      start + "Transfer-Encoding: gzip\r\n\r\nabc",
      start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n",
      "GET / HTTP/9.9.9\r\n\r\n",
      "\x16\x03\x01 not http\r\n\r\n",
  };
  for (const std::string& text : texts) {
    for (const std::size_t step : {1, 1000}) {
      Parsed parsed(Http1Parser::Kind::kRequest);
      FeedInPieces(parsed.parser, text, step);
      EXPECT_TRUE(parsed.parser.has_failed()) << text;
      EXPECT_EQ(parsed.found.ends, 0) << text;
    }
  }
}

TEST(Http1Parser, TakesABodyThatLooksLikeAFoldedLine) {
  const std::string body = "a\n b\r\n\tc";
  const std::string text =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  for (const std::size_t step : {1, 5, 1000}) {
    Parsed parsed(Http1Parser::Kind::kRequest);
    FeedInPieces(parsed.parser, text, step);
    EXPECT_EQ(parsed.found.body, body);
    EXPECT_EQ(parsed.found.ends, 1);
  }
}

TEST(Http1Parser, AnAnswerWithoutLengthEndsWithItsConnection) {
  Parsed parsed(Http1Parser::Kind::kResponse);
  parsed.parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(parsed.found.ends, 0);
  EXPECT_TRUE(parsed.parser.FinishAtEnd());
  EXPECT_EQ(parsed.found.ends, 1);
}

TEST(Http1Parser, ACutAnswerIsNotWhole) {
  for (const char* text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    Parsed parsed(Http1Parser::Kind::kResponse);
    parsed.parser.Feed(text);
    EXPECT_FALSE(parsed.parser.FinishAtEnd()) << text;
    EXPECT_EQ(parsed.found.ends, 0) << text;
  }
}

TEST(Http1Parser, AnAnswerToHeadHasNoBody) {
  Parsed parsed(Http1Parser::Kind::kResponse);
  parsed.parser.Reset(/*has_no_body=*/true);
  parsed.parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  EXPECT_EQ(parsed.found.ends, 1);
}

// Guards against an answer whose status is none of the protocol's and that is
// taken for one (MIXED). It fails at its first line, whether or not more comes.
TEST(Http1Parser, AnAnswerWithoutAStatusFails) {
  std::vector<std::string> statuses(kOddStatuses.begin(), kOddStatuses.end());
  statuses.emplace_back(" 200");
  for (const std::string& status : statuses) {
    const std::string text = "HTTP/1.1 " + status + " Odd\r\n";
    for (const std::size_t step : {1, 3, 1000}) {
      Parsed parsed(Http1Parser::Kind::kResponse);
      FeedInPieces(parsed.parser, text, step);
      EXPECT_TRUE(parsed.parser.has_failed()) << status;
      EXPECT_TRUE(parsed.found.heads.empty()) << status;
    }
  }
}

TEST(Http1Parser, ReadsEachStatusOfTheProtocol) {
  for (int status = kFirstFinalStatus; status <= kLastStatus; ++status) {
    for (const char* reason : {"", " ", " OK", " A long reason of a status"}) {
      Parsed parsed(Http1Parser::Kind::kResponse);
      FeedInPieces(parsed.parser,
                   "\r\nHTTP/1.1 " + std::to_string(status) + reason +
                       "\r\nContent-Length: 0\r\n\r\n",
                   /*step=*/4);
      ASSERT_EQ(parsed.found.heads.size(), 1U) << status << reason;
      EXPECT_EQ(parsed.found.heads[0].status, status);
    }
  }
}

// Guards against bytes that are no answer, from our own side.
TEST(Http1Text, WritesNoOtherStatus) {
  for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999, 1000}) {
    EXPECT_EQ(ResponseText(status, {}), "HTTP/1.1 502 Bad Gateway\r\n\r\n");
  }
  EXPECT_EQ(ResponseText(299, {}), "HTTP/1.1 299 \r\n\r\n");
  EXPECT_EQ(ResponseText(200, {}), "HTTP/1.1 200 OK\r\n\r\n");
}

}  // namespace
}  // namespace mangohold
