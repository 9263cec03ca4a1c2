// Replaces optional native modules, which a single-file executable cannot load.
module.exports = undefined;
