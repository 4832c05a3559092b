import test from "ava";
import {
  checkSheet,
  SheetFaultsError,
} from "../../src/contracts/sheet_check.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Addresses that no client of an upstream can be created for.

const VALID = sampleSheet();
const withAddress = (address: string) => ({
  ...VALID,
  upstreams: VALID.upstreams.map((upstream, index) =>
    index === 0 ? { ...upstream, address } : upstream
  ),
});

for (
  const address of [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "999.1.1.1:80",
    "::1:80",
    "[::1:80",
    "127.1:80",
  ]
) {
  test(`a sheet with the address ${address} is refused`, (t) => {
    const error = t.throws(() => checkSheet(withAddress(address)), {
      instanceOf: SheetFaultsError,
    });
    t.deepEqual(error.faults.map(({ path }) => path), ["/upstreams/0/address"]);
  });
}

for (const address of ["127.0.0.1:65535", "[::1]:80", "10.0.0.1:1"]) {
  test(`a sheet with the address ${address} is accepted`, (t) => {
    t.notThrows(() => checkSheet(withAddress(address)));
  });
}
