// A server that stands in for the platform: its object API and list of
// instances, and /control/… by which a test makes it fail.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/standins/instance_list.h"
#include "hibiscuspick/standins/object_store.h"
#include "hibiscuspick/standins/platform_faults.h"

namespace hibiscuspick::standins {

class PlatformStandin {
 public:
  PlatformStandin();
  ~PlatformStandin();

  // Port 0 takes any free port. Errors: kConnectFailed.
  Result<Done> Start(const std::string& ip, uint16_t port);
  // Ends waiting watches and silent calls, then the server.
  void Stop();
  uint16_t port() const { return server_.port(); }

  // For tests in the same process; the same as the calls under /control/.
  void SetFaults(const PlatformFaults& faults);
  PlatformFaults faults();
  CallCounts counts();
  void SetInstanceList(const Json& list);
  void SetInstanceLag(Millis lag);
  uint64_t Backup();
  bool RestoreTo(uint64_t revision);

 private:
  void AddObjectCalls();
  void AddControlCalls();
  // Counts a call and applies outage, delay and rate; false if it has been
  // answered or dropped.
  bool Enter(PlatformCall call, httplib::Response& response);
  void WaitWhileSilent(std::unique_lock<std::mutex>& lock);
  void HandleGet(const httplib::Request& request, httplib::Response& response);
  void HandleWatch(const httplib::Request& request,
                   httplib::Response& response);
  void HandlePut(const httplib::Request& request, httplib::Response& response);
  void HandleState(httplib::Response& response);

  std::mutex mutex_;
  // Told of each write, of each change of the faults and of the stop.
  std::condition_variable changed_;
  bool stopping_ = false;
  ObjectStore store_;
  InstanceList instances_;
  PlatformFaults faults_;
  CallCounts counts_;
  // Last, so that its threads end before what they use.
  http::Server server_;
};

}  // namespace hibiscuspick::standins
