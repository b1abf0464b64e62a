export * from "./limit-book.js";
