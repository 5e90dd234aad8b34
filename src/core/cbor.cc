#include "core/cbor.h"

#include <nlohmann/json.hpp>

namespace mangohold {
namespace {

using Json = nlohmann::json;

// The library's decoder recurses for each level.
constexpr int kMaxDepth = 32;

// Accepts everything but deep nesting.
class DepthLimit : public nlohmann::json_sax<Json> {
 public:
  bool is_exceeded() const { return is_exceeded_; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*size*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  // The decoder that builds the value reports the error.
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Enter() {
    is_exceeded_ = ++depth_ > kMaxDepth;
    return !is_exceeded_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool is_exceeded_ = false;
};

}  // namespace

Json ParseCbor(std::string_view bytes) {
  DepthLimit limit;
  Json::sax_parse(bytes.begin(), bytes.end(), &limit,
                  Json::input_format_t::cbor);
  if (limit.is_exceeded()) {
    throw Json::other_error::create(501, "nested too deeply", nullptr);
  }
  return Json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace mangohold
