/** Bundles programs that run without `node_modules`, each with a code cache for the flags that it is deployed with. */
import { execFile } from 'node:child_process'
import { chmod, mkdir, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { build, type BuildOptions } from 'esbuild'
import { WRITE_CODE_CACHE_ARGUMENT } from '../packages/runtime/src/cached-program.ts'

/** A program: the name under which it is run, its main module, and the flags of Node.js that it is run with. */
export interface BundledProgram {
  readonly name: string
  readonly source: string
  readonly flags: readonly string[]
}

const LOADER = 'packages/runtime/src/cached-program.ts'
const OPTIONS: BuildOptions = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', minify: true, keepNames: true, logLevel: 'warning' }

/** Replaces the contents of a folder with the bundled programs. */
export async function bundlePrograms (folder: string, programs: readonly BundledProgram[]): Promise<void> {
  await rm(folder, { recursive: true, force: true })
  await mkdir(folder, { recursive: true })
  await writeFile(join(folder, 'package.json'), '{ "type": "commonjs" }\n')
  for (const program of programs) await bundleProgram(folder, program)
}

/** Writes the bundle, the program that loads it, and the bundle's code cache. */
async function bundleProgram (folder: string, { name, source, flags }: BundledProgram): Promise<void> {
  const program = join(folder, name)
  await build({ ...OPTIONS, entryPoints: [source], outfile: `${program}.bundle.cjs` })
  const loader = `
    import { join } from 'node:path'
    import { runCachedProgram } from './${LOADER}'
    runCachedProgram(join(__dirname, '${name}.bundle.cjs'))
  `
  await build({ ...OPTIONS, stdin: { contents: loader, resolveDir: '.', loader: 'ts' }, outfile: program, banner: { js: '#!/usr/bin/env node' } })
  await chmod(program, 0o755)
  await promisify(execFile)(process.execPath, [...flags, program, WRITE_CODE_CACHE_ARGUMENT])
}
