// How the process's allocator treats large blocks.
#pragma once

namespace mangohold {

// Makes each large block a mapping of its own, which uses memory only where it
// is written and goes back to the system when it is freed. Without this the
// allocator takes larger and larger blocks from its heap, which stays with the
// process. Has to be called before other threads start.
void ReturnLargeBlocksAtOnce();

}  // namespace mangohold
