#include "core/allocator.h"

#include <malloc.h>
#include <sys/prctl.h>

namespace mangohold {
namespace {

constexpr int kLargeBlock = 64 << 10;

}  // namespace

// Where the system uses huge pages for all mappings, one written byte would
// take 2 MiB.
void ReturnLargeBlocksAtOnce() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
}

}  // namespace mangohold
