/**
 * Reading and validation of the project's TOML files: a {@link frostrelay.config.TableSchema}
 * declares the tables and keys, {@link frostrelay.config.TomlFile} reads and validates a file
 * against it, and {@link frostrelay.config.TableValues} gives typed access to the result.
 *
 * <p>A file is either accepted as a whole or rejected with a {@link
 * frostrelay.config.BadConfigException}, which lists all problems with their lines and keys. Values
 * are immutable and thread-safe; a schema must not change once it is built. Only {@link
 * frostrelay.config.TomlFile#read} does I/O.
 */
package frostrelay.config;
