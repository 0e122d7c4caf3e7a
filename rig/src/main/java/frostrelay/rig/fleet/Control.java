package frostrelay.rig.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import frostrelay.rig.day.FaultKind;
import frostrelay.rig.day.FaultSpec;
import frostrelay.rig.wire.Loopback;

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
public final class Control implements AutoCloseable {
    private static final int MOST_BODY = 64 * 1024;
    private static final long MILLISECOND = 1_000_000L;

    private final HttpServer server;

    /**
     * {@code port}: 0 lets the system choose; {@code status}: what it tells; {@code faults}: takes
     * what is called.
     */
    public Control(int port, Supplier<Map<String, Object>> status, Consumer<FaultSpec> faults)
            throws IOException {
        server = HttpServer.create(Loopback.port(port), 0);
        server.createContext("/status", exchange -> answer(exchange, 200, status.get()));
        server.createContext(
                "/fault",
                exchange -> {
                    try {
                        byte[] body = exchange.getRequestBody().readNBytes(MOST_BODY);
                        FaultSpec fault =
                                fault(JSON.std.mapFrom(new String(body, StandardCharsets.UTF_8)));
                        faults.accept(fault);
                        answer(exchange, 202, Map.of("fault", fault.text()));
                    } catch (IOException | RuntimeException e) {
                        answer(
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

    private static FaultSpec fault(Map<String, Object> body) {
        return new FaultSpec(
                0,
                FaultKind.of(String.valueOf(body.get("kind"))),
                body.get("target") == null ? "any" : String.valueOf(body.get("target")),
                number(body, "factor", 1),
                (long) (number(body, "amountMs", 0) * MILLISECOND),
                (long) (number(body, "forMs", 0) * MILLISECOND));
    }

    private static double number(Map<String, Object> body, String name, double otherwise) {
        Object value = body.get(name);
        if (value != null && !(value instanceof Number)) {
            throw new IllegalArgumentException(name + " is no number");
        }
        return value == null ? otherwise : ((Number) value).doubleValue();
    }

    /** A fault as {@link #fault} reads it. */
    public static Map<String, Object> body(FaultSpec fault) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", fault.kind().word);
        body.put("target", fault.target());
        body.put("factor", fault.factor());
        body.put("amountMs", fault.amount() / (double) MILLISECOND);
        body.put("forMs", fault.length() / (double) MILLISECOND);
        return body;
    }

    private static void answer(HttpExchange exchange, int status, Map<String, Object> body)
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
