/**
 * Reading of the project's own TOML files: a {@link frostrelay.config.TableSchema} declares the
 * tables and keys, {@link frostrelay.config.TomlFile} reads and validates a file against it, and
 * {@link frostrelay.config.TableValues} gives typed access to the result.
 *
 * <p>A file is accepted as a whole or rejected with all of its problems, each with its line and
 * key, as {@link frostrelay.config.BadConfigException}. Values are immutable and thread-safe; a
 * schema is built once and must not change after that. Only {@link frostrelay.config.TomlFile#read}
 * does I/O.
 */
package frostrelay.config;
