import test from "ava";
import {
  printSettings,
  readSettings,
  SettingsFaultsError,
} from "../src/settings.ts";

const REQUIRED_SETTINGS = {
  vmName: "vm-1",
  dataCentre: "muttrah",
  storeUrl: "http://10.0.0.1:2379",
  vmListUrl: "http://10.0.0.1/vms",
  linkSecret: "0123456789abcdef",
  operateToken: "fedcba9876543210",
};

test("flags take precedence over variables, and variables over defaults", (t) => {
  const settings = readSettings({
    flags: { ...REQUIRED_SETTINGS, vmName: "vm-2" },
    environment: {
      SEQUOIATURN_VM_NAME: "vm-3",
      SEQUOIATURN_BODY_LIMIT_BYTES: "5",
      PATH: "/bin",
    },
  });
  t.is(settings.vmName, "vm-2");
  t.is(settings.bodyLimitBytes, 5);
  t.is(settings.callerAddress, "127.0.0.1:8080");
});

test("all faults are reported together, each with its flag and variable", (t) => {
  const { vmName: _, ...others } = REQUIRED_SETTINGS;
  const error = t.throws(() =>
    readSettings({
      flags: { ...others, linkSecret: "short", vmNmae: "vm-1" },
      operands: ["start"],
      environment: {
        SEQUOIATURN_DRAIN: "1",
        SEQUOIATURN_BODY_LIMIT_BYTES: "many",
      },
    }), { instanceOf: SettingsFaultsError });
  t.deepEqual(error?.faults, [
    "start: unexpected argument",
    "--vm-nmae: unknown flag",
    "SEQUOIATURN_DRAIN: unknown variable",
    "--vm-name (SEQUOIATURN_VM_NAME): required",
    "--link-secret (SEQUOIATURN_LINK_SECRET): expected at least 16 characters",
    "--body-limit-bytes (SEQUOIATURN_BODY_LIMIT_BYTES): expected a number of bytes",
  ]);
});

test("printed settings hide secrets", (t) => {
  const text = printSettings(
    readSettings({ flags: REQUIRED_SETTINGS, environment: {} }),
  );
  t.regex(text, /^link-secret = \(hidden\)$/m);
  t.regex(text, /^vm-name = vm-1$/m);
  t.false(text.includes(REQUIRED_SETTINGS.operateToken));
});
