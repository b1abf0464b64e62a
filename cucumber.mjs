export default {
  paths: ["packages/*/src/**/*.feature"],
  import: ["packages/*/dist/**/*.steps.js"],
  publish: false,
};
