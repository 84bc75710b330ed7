/** Bundles programs into single files that run without `node_modules`. */
import { chmod, mkdir, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { build } from 'esbuild'

/** A program: the name of its bundle and its main module. */
export interface BundledProgram {
  readonly name: string
  readonly source: string
}

/** Replaces the contents of a folder with the bundled programs. */
export async function bundlePrograms (folder: string, programs: readonly BundledProgram[]): Promise<void> {
  await rm(folder, { recursive: true, force: true })
  await mkdir(folder, { recursive: true })
  await writeFile(join(folder, 'package.json'), '{ "type": "module" }\n')
  for (const program of programs) {
    const outfile = join(folder, program.name)
    await build({
      entryPoints: [program.source],
      outfile,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      minify: true,
      keepNames: true,
      banner: {
        js: '#!/usr/bin/env node\nimport { createRequire as createRequireOfBundle } from \'node:module\'\nconst require = createRequireOfBundle(import.meta.url)'
      },
      logLevel: 'warning'
    })
    await chmod(outfile, 0o755)
  }
}
