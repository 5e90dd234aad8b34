#include "core/cryptographic_hash.h"

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace mangohold {
namespace {

constexpr int kBitsPerByte = 8;

}  // namespace

std::uint64_t CryptographicHash(std::initializer_list<std::string_view> texts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view text : texts) {
    const std::uint64_t size = text.size();
    std::array<unsigned char, sizeof(size)> length{};
    for (std::size_t i = 0; i < length.size(); ++i) {
      length[i] = static_cast<unsigned char>(size >> (i * kBitsPerByte));
    }
    EVP_DigestUpdate(context.get(), length.data(), length.size());
    EVP_DigestUpdate(context.get(), text.data(), text.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < sizeof(hash); ++i) {
    hash = hash << kBitsPerByte | digest[i];
  }
  return hash;
}

}  // namespace mangohold
