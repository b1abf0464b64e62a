/** Random numbers as an injected service, on pure-rand's xoroshiro generator. */
import { randomBytes } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const floatSteps = 0x40000000;
const identifierDigits = 12;

/** A source of random numbers. */
export interface Random {
  /** A number from 0 up to but not including 1. */
  nextFloat(): number;
  /** A whole number from 0 up to but not including `limit`. */
  nextInt(limit: number): number;
  /** A fresh identifier of 12 hexadecimal digits. */
  identifier(): string;
}

/** Random numbers that are the same for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const nextInt = (limit: number) => uniformInt(generator, 0, limit - 1);
  return {
    nextFloat: () => nextInt(floatSteps) / floatSteps,
    nextInt: nextInt,
    identifier() {
      let digits = "";
      for (let index = 0; index < identifierDigits; index++) digits += nextInt(16).toString(16);
      return digits;
    },
  };
}

/** Random numbers of a running process, seeded by the operating system. */
export function systemRandom(): Random {
  const random = seededRandom(randomBytes(4).readInt32LE());
  return {
    ...random,
    identifier: () => randomBytes(identifierDigits / 2).toString("hex"),
  };
}

/** One element of a list that is not empty. */
export function pick<T>(random: Random, list: readonly T[]): T {
  return list[random.nextInt(list.length)];
}
