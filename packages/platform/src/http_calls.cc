#include "hibiscuspick/platform/http_calls.h"

#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::platform {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 412;
constexpr int kStatusUnavailable = 503;

using http::Connection;
using http::MakeRequest;
using http::Reply;

// Connection pool to the platform; each running call uses one connection.
class ConnectionPool {
 public:
  ConnectionPool(Address address, HttpCallLimits limits)
      : address_(std::move(address)), limits_(limits) {}

  const HttpCallLimits& limits() const { return limits_; }

  Result<Reply> Send(httplib::Request request, Millis timeout) {
    auto connection = Acquire();
    if (!connection) {
      return Error{Code::kConnectFailed, "", "the connection pool is closed"};
    }
    auto result = connection->Send(std::move(request), timeout);
    Release(std::move(connection), IsOk(result));
    return result;
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (Connection* it : running_) it->Abort();
  }

 private:
  std::unique_ptr<Connection> Acquire() {
    const std::lock_guard lock(mutex_);
    if (closed_) return nullptr;
    std::unique_ptr<Connection> connection;
    if (idle_.empty()) {
      connection = std::make_unique<Connection>(
          address_,
          http::ConnectionLimits{limits_.connect_timeout, limits_.max_body});
    } else {
      connection = std::move(idle_.back());
      idle_.pop_back();
    }
    running_.insert(connection.get());
    return connection;
  }

  // Closes a connection that failed, since a late reply could still arrive on
  // it.
  void Release(std::unique_ptr<Connection> connection, bool reusable) {
    const std::lock_guard lock(mutex_);
    running_.erase(connection.get());
    if (reusable && !closed_ && idle_.size() < limits_.max_idle_connections) {
      idle_.push_back(std::move(connection));
    }
  }

  const Address address_;
  const HttpCallLimits limits_;
  std::mutex mutex_;
  bool closed_ = false;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::set<Connection*> running_;
};

Error Unavailable(std::string message) {
  return {Code::kPlatformUnavailable, "", std::move(message)};
}

Error UnexpectedStatus(const Reply& reply) {
  return Unavailable("the platform answered with status " +
                     std::to_string(reply.status));
}

// Returns the JSON body of a read's reply with status 200.
Result<Json> ReadBody(const Result<Reply>& result) {
  if (!IsOk(result)) {
    const Error& error = ErrorOf(result);
    return Unavailable(std::string(CodeName(error.code)) + ": " +
                       error.message);
  }
  const Reply& reply = ValueOf(result);
  if (reply.status == kStatusNotFound) {
    return Error{Code::kNotFound, "", "no such object"};
  }
  if (reply.status != kStatusOk) return UnexpectedStatus(reply);
  auto body = ParseJson(reply.body);
  if (!IsOk(body)) return Unavailable("the answer is not JSON");
  return body;
}

// Returns the revision in a field, or none if it is not an unsigned integer.
std::optional<Revision> ReadRevision(const Json& body, const char* key) {
  if (!body.is_object()) return std::nullopt;
  const auto it = body.find(key);
  if (it == body.end() || !it->is_number_unsigned()) return std::nullopt;
  return Revision(it->get<uint64_t>());
}

std::optional<std::string> ReadText(const Json& body, const char* key) {
  if (!body.is_object()) return std::nullopt;
  const auto it = body.find(key);
  if (it == body.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

Result<StoredObject> ReadObject(std::string name, Json body) {
  const auto version = ReadRevision(body, "version");
  if (!version || !body.contains("value")) {
    return Unavailable("the answer is not an object with a version");
  }
  return StoredObject{std::move(name), *version, std::move(body["value"])};
}

// One malformed object makes the whole list fail: if it were skipped, its
// change would count as known.
Result<Changes> ReadChanges(const Result<Json>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const Json& body = ValueOf(result);
  const auto complete_to = ReadRevision(body, "complete_to");
  if (!complete_to || !body.contains("objects") ||
      !body["objects"].is_array()) {
    return Unavailable("the answer is not a list of changes");
  }
  Changes changes{*complete_to, {}};
  for (const Json& it : body["objects"]) {
    const auto name = ReadText(it, "name");
    if (!name) return Unavailable("a listed object has no name");
    auto object = ReadObject(*name, it);
    if (!IsOk(object)) return ErrorOf(object);
    changes.objects.push_back(std::move(ValueOf(object)));
  }
  return changes;
}

std::optional<ListedInstance> ReadInstance(const Json& entry) {
  const auto id = ReadText(entry, "id");
  const auto ip = ReadText(entry, "address");
  const auto port = ReadRevision(entry, "inner_port");
  const auto data_centre = ReadText(entry, "data_centre");
  const auto state = ReadText(entry, "state");
  if (!id || !ip || !port || !data_centre || !state) return std::nullopt;
  const auto address = ParseAddress(*ip + ":" + std::to_string(port->value));
  if (!IsOk(address)) return std::nullopt;
  return ListedInstance{InstanceId(*id), ValueOf(address),
                        DataCentreId(*data_centre), *state == "leaving"};
}

Result<std::vector<ListedInstance>> ReadInstances(const Result<Json>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const Json& body = ValueOf(result);
  if (!body.is_array()) return Unavailable("the answer is not a list");
  std::vector<ListedInstance> out;
  for (const Json& it : body) {
    auto instance = ReadInstance(it);
    if (instance) {
      out.push_back(std::move(*instance));
    } else {
      Log(Part::kPlatform)
          .warn("skipped an entry of the instance list: cannot be decoded");
    }
  }
  return out;
}

// Whether a status other than 200 guarantees that a PUT was not applied.
bool IsRejection(int status) {
  return (status >= 400 && status < 500) || status == kStatusUnavailable;
}

Result<Revision> ReadPutReply(const Result<Reply>& result) {
  const Error lost{Code::kPlatformReplyLost, "", "the reply was lost"};
  if (!IsOk(result)) {
    // Only after a failed connect is it certain that nothing was sent.
    if (ErrorOf(result).code == Code::kConnectFailed) {
      return Unavailable(ErrorOf(result).message);
    }
    return lost;
  }
  const Reply& reply = ValueOf(result);
  if (reply.status == kStatusConflict) {
    return Error{Code::kPlatformConflict, "", "the object has another version"};
  }
  if (IsRejection(reply.status)) return UnexpectedStatus(reply);
  if (reply.status != kStatusOk && reply.status != kStatusCreated) return lost;
  const auto body = ParseJson(reply.body);
  if (!IsOk(body)) return lost;
  const auto version = ReadRevision(ValueOf(body), "version");
  if (!version) return lost;
  return *version;
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/objects/" + kind + "/" + name;
}

std::string AfterQuery(Revision after) {
  return "?after=" + std::to_string(after.value);
}

Result<Json> Read(ConnectionPool* pool, const std::string& path, Millis extra) {
  return ReadBody(
      pool->Send(MakeRequest("GET", path), pool->limits().timeout + extra));
}

Result<Revision> Put(ConnectionPool* pool, const std::string& path,
                     const Json& value, std::optional<Revision> expected) {
  auto request = MakeRequest("PUT", path, DumpJson(value));
  if (expected) {
    request.set_header("If-Match", std::to_string(expected->value));
  } else {
    request.set_header("If-None-Match", "*");
  }
  return ReadPutReply(pool->Send(std::move(request), pool->limits().timeout));
}

}  // namespace

Calls MakeHttpCalls(const Address& address, HttpCallLimits limits) {
  const auto pool = std::make_shared<ConnectionPool>(address, limits);
  Calls calls;
  calls.get = [pool](const std::string& kind,
                     const std::string& name) -> Result<StoredObject> {
    auto body = Read(pool.get(), ObjectPath(kind, name), Millis());
    if (!IsOk(body)) return ErrorOf(body);
    return ReadObject(name, std::move(ValueOf(body)));
  };
  calls.list = [pool](const std::string& kind, Revision after) {
    return ReadChanges(
        Read(pool.get(), "/objects/" + kind + AfterQuery(after), Millis()));
  };
  calls.watch = [pool](const std::string& kind, Revision after, Millis wait) {
    const auto wait_ms = static_cast<int64_t>(wait.count);
    return ReadChanges(Read(pool.get(),
                            "/watch/" + kind + AfterQuery(after) +
                                "&wait_ms=" + std::to_string(wait_ms),
                            wait));
  };
  calls.put = [pool](const std::string& kind, const std::string& name,
                     const Json& value, std::optional<Revision> expected) {
    return Put(pool.get(), ObjectPath(kind, name), value, expected);
  };
  calls.instances = [pool] {
    return ReadInstances(Read(pool.get(), "/instances", Millis()));
  };
  calls.close = [pool] { pool->Close(); };
  return calls;
}

}  // namespace hibiscuspick::platform
