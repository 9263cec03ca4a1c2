// Takes the place of optional native modules, which a single binary cannot load.
module.exports = undefined;
