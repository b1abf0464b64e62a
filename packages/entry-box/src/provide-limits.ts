/** Limits that targets name: what this box has heard of them. */
import { fleetName } from "@linkfall/fleet";
import { serviceName } from "@linkfall/kernel";
import { createLimitBook, type LimitBook } from "@linkfall/target-limits";
import type { BoxParts } from "./box-parts.js";

export const targetLimitsName = serviceName<LimitBook>("target-limits");

export function provideLimits({ kernel, ports }: BoxParts): LimitBook {
  const { clock, logger } = ports;
  const book = kernel.provide(targetLimitsName, createLimitBook(clock));
  kernel.find(fleetName).onLifeEnded(book.forget);
  book.onChange(({ target, perSecond }) => {
    if (perSecond === undefined) logger.event("targetLimitEnded", { target });
    else logger.event("targetLimited", { target, perSecond });
  });
  return book;
}
