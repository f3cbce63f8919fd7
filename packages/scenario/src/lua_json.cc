#include "lua_json.h"

#include <string>

namespace hibiscuspick::scenario {
namespace {

Json TableToJson(lua_State* lua, int index) {
  const auto n = static_cast<lua_Integer>(lua_rawlen(lua, index));
  if (n > 0) {
    Json array = Json::array();
    for (lua_Integer i = 1; i <= n; ++i) {
      lua_rawgeti(lua, index, i);
      array.push_back(ToJson(lua, lua_gettop(lua)));
      lua_pop(lua, 1);
    }
    return array;
  }
  Json object = Json::object();
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    // A copy of the key, since converting it in place would stop lua_next.
    lua_pushvalue(lua, -2);
    const std::string key = lua_tostring(lua, -1);
    lua_pop(lua, 1);
    object[key] = ToJson(lua, lua_gettop(lua));
    lua_pop(lua, 1);
  }
  return object;
}

}  // namespace

Json ToJson(lua_State* lua, int index) {
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        const lua_Integer n = lua_tointeger(lua, index);
        if (n >= 0) return static_cast<uint64_t>(n);
        return n;
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING:
      return lua_tostring(lua, index);
    case LUA_TTABLE:
      return TableToJson(lua, lua_absindex(lua, index));
    default:
      return nullptr;
  }
}

void PushJson(lua_State* lua, const Json& value) {
  if (value.is_boolean()) {
    lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
  } else if (value.is_number_integer()) {
    lua_pushinteger(lua, value.get<lua_Integer>());
  } else if (value.is_number()) {
    lua_pushnumber(lua, value.get<double>());
  } else if (value.is_string()) {
    lua_pushstring(lua, value.get_ref<const std::string&>().c_str());
  } else if (value.is_array()) {
    lua_newtable(lua);
    lua_Integer i = 0;
    for (const auto& it : value) {
      PushJson(lua, it);
      lua_rawseti(lua, -2, ++i);
    }
  } else if (value.is_object()) {
    lua_newtable(lua);
    for (const auto& [key, it] : value.items()) {
      PushJson(lua, it);
      lua_setfield(lua, -2, key.c_str());
    }
  } else {
    lua_pushnil(lua);
  }
}

}  // namespace hibiscuspick::scenario
