#include "net/http1_text.h"

#include <http_parser.h>

#include <array>
#include <cstdio>

#include "net/http_status.h"

namespace mangohold {
namespace {

void AppendFields(std::string& out, const HttpFields& fields) {
  for (const HttpField& field : fields) {
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  out.append("\r\n");
}

// Empty if the status has no usual one.
std::string_view ReasonPhrase(int status) {
  const std::string_view phrase =
      http_status_str(static_cast<http_status>(status));
  return phrase.starts_with('<') ? std::string_view() : phrase;
}

}  // namespace

std::string RequestText(std::string_view method, std::string_view target,
                        const HttpFields& fields) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(out, fields);
  return out;
}

std::string ResponseText(int status, const HttpFields& fields) {
  const int checked = CheckedStatus(status);
  std::string out = "HTTP/1.1 " + std::to_string(checked) + " ";
  out.append(ReasonPhrase(checked)).append("\r\n");
  AppendFields(out, fields);
  return out;
}

std::string ChunkText(std::string_view data) {
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  out.append(data).append("\r\n");
  return out;
}

}  // namespace mangohold
