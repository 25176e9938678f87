/** A server on a real socket that keeps each request pending until the test responds to it. */
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "sidecar/http/http_server.h"
#include "sidecar/http/messages.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::sidecar::test
{

class HoldingServer : public ::testing::Test
{
protected:
    using Configuration = std::function<void (HoldingServer&, ServerSettings&)>;

    /** @param configure  adds to the server's settings */
    explicit HoldingServer (const Configuration& configure)
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
    {
        ServerSettings settings;
        settings.limits = []
        {
            mesh::ClientLimits limits;
            limits.headerBytes = 2000;
            limits.bodyBytes = 100'000;
            limits.headerTimeout = Milliseconds (2000);
            limits.idleTimeout = Milliseconds (5000);
            return limits;
        };
        settings.errorMessage = [] (int status, std::string_view cause)
        { return localAnswer (status, cause, {}, true, false); };
        settings.handler = [this] (const ExchangePointer& exchange) { onRequest (exchange); };
        configure (*this, settings);
        reactor->RunAndWait (
            [&]
            {
                server = std::make_shared<HttpServer> (reactor, settings);
                EXPECT_TRUE (Resolve ([&] { return server->listen ({ "127.0.0.1", 0 }); }));
                address = server->address();
            });
    }

    ~HoldingServer() override
    {
        reactor->RunAndWait ([&] { server->stopListening(); });
        reactor->Stop();
    }

    void onRequest (const ExchangePointer& exchange)
    {
        if (exchange->head.target == "/throw")
            throw std::runtime_error ("thrown by the handler");

        const std::lock_guard lock (mutex);
        exchange->onDisconnect = [this, target = exchange->head.target]
        {
            const std::lock_guard lock (mutex);
            disconnected.push_back (target);
        };
        received.push_back (exchange);
    }

    static std::string request (const std::string& target, const std::string& fields = {},
                                const std::string& body = {})
    {
        const auto length =
            body.empty() ? std::string() : "Content-Length: " + std::to_string (body.size());
        return (body.empty() ? "GET " : "POST ") + target + " HTTP/1.1\r\nHost: h\r\n" + fields +
               (length.empty() ? "" : length + "\r\n") + "\r\n" + body;
    }

    std::size_t receivedCount()
    {
        const std::lock_guard lock (mutex);
        return received.size();
    }

    /** @returns the request that was dispatched as number `index`; others may arrive concurrently
     */
    ExchangePointer receivedRequest (std::size_t index)
    {
        const std::lock_guard lock (mutex);
        return received.at (index);
    }

    bool awaitReceived (std::size_t count)
    {
        return Eventually ([&] { return receivedCount() == count; });
    }

    /** @returns true if exactly `count` requests have been dispatched after a short wait */
    bool receivedCountStaysAt (std::size_t count)
    {
        std::this_thread::sleep_for (std::chrono::milliseconds (60));
        return receivedCount() == count;
    }

    std::vector<std::string> disconnectedTargets()
    {
        const std::lock_guard lock (mutex);
        return disconnected;
    }

    /** Responds to the request that was dispatched as number `index`, by default with its target.
     */
    void answer (std::size_t index, bool close = false, const std::string& body = {})
    {
        reactor->RunAndWait (
            [&]
            {
                const auto exchange = receivedRequest (index);
                const auto& text = body.empty() ? exchange->head.target : body;
                const bool closes = close || exchange->mustClose();
                exchange->respond (answerMessage ({ 200, {}, text, closes, false }, {}), closes);
            });
    }

    /** Responds with the first part of a body of unknown length. @returns the rest to come */
    std::shared_ptr<BodyStream> beginAnswer (std::size_t index, const std::string& part)
    {
        std::shared_ptr<BodyStream> rest;
        reactor->RunAndWait (
            [&]
            {
                rest = std::make_shared<BodyStream> (reactor, Reservation());
                receivedRequest (index)->respond (
                    answerMessage ({ 200, {}, {}, false, false }, {},
                                   Body (Body (part), rest, std::nullopt)),
                    false);
            });
        return rest;
    }

    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<HttpServer> server;
    SocketAddress address;
    std::mutex mutex;
    std::vector<ExchangePointer> received;
    std::vector<std::string> disconnected;
};

} // namespace copperlead::sidecar::test
