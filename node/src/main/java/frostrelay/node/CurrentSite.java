package frostrelay.node;

/**
 * The settings that hold now: one value, swapped whole, so that nothing ever goes by half of the
 * new ones.
 */
final class CurrentSite {
    private Site site;

    CurrentSite(Site site) {
        this.site = site;
    }

    Site get() {
        return site;
    }

    void swap(Site fresh) {
        site = fresh;
    }
}
