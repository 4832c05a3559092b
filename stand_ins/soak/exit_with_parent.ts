/// Loaded into a program that a test starts: ends its process once the one that
/// started it is gone.

process.stdin.on("close", () => process.exit()).resume();
