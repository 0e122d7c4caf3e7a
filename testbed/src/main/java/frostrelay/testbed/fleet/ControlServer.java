package frostrelay.testbed.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.wire.Loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Where a running fleet takes faults by hand and tells how it is: HTTP on loopback, one call at a
 * time.
 */
public final class ControlServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final HttpServer server;

    /**
     * {@code port}: 0 lets the system choose; {@code status}: what it tells; {@code faults}: takes
     * what is called.
     */
    public ControlServer(int port, Supplier<Map<String, Object>> status, Consumer<FaultSpec> faults)
            throws IOException {
        server = HttpServer.create(Loopback.port(port), 0);
        server.createContext("/status", exchange -> respond(exchange, 200, status.get()));
        server.createContext(
                "/fault",
                exchange -> {
                    try {
                        byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES);
                        FaultSpec fault =
                                parseFault(
                                        JSON.std.mapFrom(new String(body, StandardCharsets.UTF_8)));
                        faults.accept(fault);
                        respond(exchange, 202, Map.of("fault", fault.describe()));
                    } catch (IOException | RuntimeException e) {
                        respond(
                                exchange,
                                400,
                                Map.of(
                                        "error",
                                        String.valueOf(e.getMessage())
                                                .lines()
                                                .findFirst()
                                                .orElse("")));
                    }
                });
        server.start();
    }

    private static FaultSpec parseFault(Map<String, Object> body) {
        return new FaultSpec(
                0,
                FaultKind.fromWireName(String.valueOf(body.get("kind"))),
                body.get("target") == null ? "any" : String.valueOf(body.get("target")),
                number(body, "factor", 1),
                (long) (number(body, "amountMs", 0) * NANOS_PER_MILLISECOND),
                (long) (number(body, "forMs", 0) * NANOS_PER_MILLISECOND));
    }

    private static double number(Map<String, Object> body, String name, double defaultValue) {
        Object value = body.get(name);
        if (value != null && !(value instanceof Number)) {
            throw new IllegalArgumentException(name + " is no number");
        }
        return value == null ? defaultValue : ((Number) value).doubleValue();
    }

    /** A fault as {@link #parseFault} reads it. */
    public static Map<String, Object> encodeFault(FaultSpec fault) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", fault.kind().wireName);
        body.put("target", fault.target());
        body.put("factor", fault.factor());
        body.put("amountMs", fault.amountNanos() / (double) NANOS_PER_MILLISECOND);
        body.put("forMs", fault.durationNanos() / (double) NANOS_PER_MILLISECOND);
        return body;
    }

    private static void respond(HttpExchange exchange, int status, Map<String, Object> body)
            throws IOException {
        byte[] bytes = JSON.std.asString(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
