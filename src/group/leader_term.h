// The term of a group's leader. Agents refuse commands of earlier terms.
#pragma once

#include "core/ids.h"

namespace mangohold {

using LeaderTerm = Number<struct LeaderTermTag>;

}  // namespace mangohold
