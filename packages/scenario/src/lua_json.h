// Lua values as JSON and back.
#pragma once

#include <lua.hpp>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::scenario {

// The value at `index`; a table with 1..n is an array, any other an object.
Json ToJson(lua_State* lua, int index);

// Leaves the value on the stack.
void PushJson(lua_State* lua, const Json& value);

}  // namespace hibiscuspick::scenario
