package frostrelay.cli;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Asks balancers' consoles. */
final class Consoles {
    private static final Duration CALL = Duration.ofSeconds(3);
    private static final HttpClient HTTP = HttpClient.newBuilder().connectTimeout(CALL).build();

    private Consoles() {}

    /**
     * What a console says of its balancer and the others; {@code error} alone where it cannot be
     * asked.
     */
    static Map<String, Object> audit(String console) throws InterruptedException {
        try {
            HttpResponse<String> answer =
                    HTTP.send(
                            HttpRequest.newBuilder(URI.create("http://" + console + "/ops/audit"))
                                    .timeout(CALL)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return answer.statusCode() == 200 ? JSON.std.mapFrom(answer.body()) : Map.of();
        } catch (IOException | IllegalArgumentException e) {
            return Map.of("error", "unknown, it cannot be asked: " + e);
        }
    }
}
