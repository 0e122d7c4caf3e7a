package review2;

/** A script of discovery for a list that does not change: watches wait for their time. */
public final class CalmDiscovery implements Discovery.Script {
    private final long revision;
    private final String list;

    public CalmDiscovery(long revision, String... entries) {
        this.revision = revision;
        this.list = Discovery.list(revision, true, entries);
    }

    @Override
    public void serve(Discovery.Call call) throws Exception {
        if (call.since != revision) {
            call.answer(list);
        } else {
            Case.sleep(call.waitMillis);
            call.answer(Discovery.list(revision, false));
        }
    }
}
