/**
 * Our own TOML files: schema, validation with line and key of every problem, typed access to the
 * values.
 */
package frostrelay.config;
