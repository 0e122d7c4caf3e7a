package review2;

import java.util.Locale;

/** The settings of a small deployment, as the interface page lists them. */
public final class Settings {
    public int instances = 1;
    public int rank;

    /** Returns the settings as a JSON object. */
    public String json() {
        return "{\"n-instances\":" + instances + ",\"rank\":" + rank
                + ",\"categories\":["
                + category("leer-plantilla", "retryable", 1200, 3000, 5000, 1.0, 0.25) + ","
                + category("registrar-uso", "fragile", 2500, 5000, 5000, 3.0, 0.3) + ","
                + category("enviar-comentario", "dedup", 1500, 4000, 8000, 3.0, 0.3) + "]"
                + ",\"tenants\":[{\"name\":\"estudio-andes\",\"allowance-per-s\":4000.0,\"fraction\":1.0}]"
                + ",\"callers\":{\"marks-retry\":true},\"ceilings\":{\"cancelling\":true"
                + ",\"conn-idle-ns\":60000000000,\"connect-timeout-ns\":250000000,\"cpu-us-per-request\":10.0"
                + ",\"cpu-us-per-s\":22012,\"max-attempts\":4,\"max-open\":29350,\"max-retry-after-ns\":2000000000"
                + ",\"may-duplicate\":true,\"multiplex\":128,\"peer-messages\":true,\"probing\":true"
                + ",\"retry-after\":true},\"counted-by\":\"work\",\"discovery\":\"subscribe\""
                + ",\"family-info\":{\"mode\":\"through\",\"origin-fall-multiple\":0.0"
                + ",\"origin-fall-ns\":3000000000,\"origin-kind\":-1}"
                + ",\"guarantees\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000"
                + ",\"cold-from\":0.15,\"fall-ns\":1000000000,\"stop-sending-within-ns\":500000000"
                + ",\"tip-multiple\":4.0,\"warm-within-ns\":20000000000}"
                + ",\"kinds\":[\"basico-1c\"],\"load-report\":{\"fields\":[\"x0\",\"x1\",\"fail_rate\",\"rate\"]"
                + ",\"source\":\"probe\"},\"my-zone\":0,\"over-share-worth\":0.1,\"stages\":[\"cache-plantillas\"]"
                + ",\"tick-ns\":5000000,\"tier\":0,\"weights\":\"none\",\"workload\":\"cache\""
                + ",\"zones\":[\"stgo-centro\"]}";
    }

    private static String category(
            String name, String effect, long aimMs, long deadlineMs, long windowMs, double worth,
            double lateWorth) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"effect\":\"%s\",\"goal-time-ns\":%d000000,\"deadline-ns\":%d000000,"
                        + "\"window-ns\":%d000000,\"group\":\"all\",\"stream\":false,\"worth\":%s,\"late-worth\":%s}",
                name, effect, aimMs, deadlineMs, windowMs, worth, lateWorth);
    }
}
