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
 * An HTTP server on loopback that injects faults into a running cluster and reports its status;
 * handles one call at a time.
 */
public final class ControlServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final HttpServer server;

    /**
     * Starts the server. {@code port}: 0 for any free port; {@code status}: supplies the status;
     * {@code faults}: receives each requested fault.
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
            throw new IllegalArgumentException(name + " must be a number, found " + value);
        }
        return value == null ? defaultValue : ((Number) value).doubleValue();
    }

    /** Encodes a fault in the format that {@link #parseFault} reads. */
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

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
