// Takes the place of an optional native module: datagram sockets of the file system are not used.
module.exports = undefined;
