/// Resolves to true with the first promise that does, and to false once none is
/// left. A rejected one counts as false.
export async function anyTrue(
  promises: readonly Promise<boolean>[],
): Promise<boolean> {
  const required = promises.map(async (promise) => {
    if (!await promise) throw new Error("false");
  });
  return await Promise.any(required).then(() => true, () => false);
}
