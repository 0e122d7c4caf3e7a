package frostrelay.staleness;

/** A version, identified by its kind and number. */
record NumberedVersion(VersionKind kind, long number) {}
