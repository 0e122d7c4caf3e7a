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
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final HttpClient HTTP = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

    private AdminClient() {}

    /**
     * What a console says of its balancer and the others; {@code error} alone where it cannot be
     * asked.
     */
    static Map<String, Object> fetchStatus(String address) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    HTTP.send(
                            HttpRequest.newBuilder(URI.create("http://" + address + "/ops/audit"))
                                    .timeout(TIMEOUT)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? JSON.std.mapFrom(response.body()) : Map.of();
        } catch (IOException | IllegalArgumentException e) {
            return Map.of("error", "unknown, it cannot be asked: " + e);
        }
    }
}
