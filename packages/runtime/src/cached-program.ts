/**
 * Runs a bundled program from code that was compiled when it was built, as compiling it takes a third of the start of a process.
 * The code cache fits only the version of Node.js and the V8 flags that wrote it; with others the bundle is compiled anew.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname } from 'node:path'
import { Script } from 'node:vm'

/** As the only argument, lets a program write its code cache and end. */
export const WRITE_CODE_CACHE_ARGUMENT = '--write-code-cache'
/** An argument with which every program loads all of its modules and ends. */
const LOAD_ONLY_ARGUMENT = '--version'

type ModuleFunction = (exports: object, require: NodeJS.Require, module: { exports: object }, filename: string, folder: string) => void

/** Where the code cache of a bundle is for this process. Code that was compiled for another processor must not be loaded. */
export function codeCacheOf (bundle: string): string {
  return `${bundle}.${process.version}.${process.arch}.code-cache`
}

/** Runs a bundle in CommonJS format with the arguments of this process. */
export function runCachedProgram (bundle: string): void {
  const codeCache = codeCacheOf(bundle)
  const script = compile(bundle, readIfPresent(codeCache))
  if (process.argv[2] === WRITE_CODE_CACHE_ARGUMENT) {
    process.argv[2] = LOAD_ONLY_ARGUMENT
    process.on('exit', () => writeFileSync(codeCache, script.createCachedData()))
  }
  const module = { exports: {} }
  const run = script.runInThisContext() as ModuleFunction
  run(module.exports, createRequire(bundle), module, bundle, dirname(bundle))
}

function compile (bundle: string, cachedData: Buffer | undefined): Script {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`
  return new Script(source, { filename: bundle, cachedData })
}

/** A program without a code cache is compiled, as one whose code cache does not fit. */
function readIfPresent (file: string): Buffer | undefined {
  try {
    return readFileSync(file)
  } catch {
    return undefined
  }
}
