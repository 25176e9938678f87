#include "proxy/start_proxy_server.h"

#include <utility>

namespace copperlead {

Result<std::unique_ptr<ProxyServer>> StartProxyServer(const ProxySettings& settings,
                                                      std::shared_ptr<RequestRouter> router) {
  RequestDecider decider;
  decider.begin = [router = std::move(router)](const RequestFacts& facts) {
    return router->Begin(facts);
  };
  decider.normalize_path = NormalizePath;
  return StartProxyServerWith(settings, std::move(decider));
}

}  // namespace copperlead
