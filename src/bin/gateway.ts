#!/usr/bin/env node

/// Starts the gateway. Signals have an effect of their own until there is a
/// listener, so that there is one before the program is loaded.

process.on("SIGHUP", () => {
  // The settings file is read after this by a program that is starting.
});
void import("./gateway_program.ts");
